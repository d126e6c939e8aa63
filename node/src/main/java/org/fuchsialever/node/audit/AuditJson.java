package org.fuchsialever.node.audit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsialever.decisions.audit.AuditRecord;

/** Encodes audit records as lines of JSON. */
public final class AuditJson implements AuditRecord.Encoder {
    private final ObjectMapper mMapper = new ObjectMapper();

    @Override
    public String encode(long wallMillis, AuditRecord record) {
        ObjectNode line = mMapper.createObjectNode();
        line.put("at_millis", wallMillis);
        AuditLine.of(record).put(record, line);
        try {
            return mMapper.writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an audit record cannot be encoded", e);
        }
    }
}
