package org.fuchsialever.node.keys;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.keys.KeyAction;
import org.fuchsialever.decisions.keys.KeyEvent;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyRow;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.Names;
import org.fuchsialever.services.ListedInstance;

/** JSON form of all keys that an instance knows, for a peer that starts. */
final class KeyStates {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private KeyStates() {}

    static String write(KeyAction.PublishKeysForPeers known) {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode rows = body.putArray("rows");
        for (KeyRow row : known.rows()) {
            rows.addObject()
                    .put("id", row.key().id().value())
                    .put("version", row.version())
                    .put("value", row.key().encode());
        }
        ArrayNode withdrawals = body.putArray("withdrawals");
        known.withdrawals().stream().sorted().forEach(key -> withdrawals.add(key.value()));
        return body.toString();
    }

    /** Returns the answer of a peer, or none if any part of it is damaged. */
    static Option<KeyEvent> read(ListedInstance peer, String text) {
        try {
            JsonNode body = MAPPER.readTree(text);
            List<KeyRow> rows = new ArrayList<>();
            for (JsonNode row : body.path("rows")) {
                Option<KeyRecord> key =
                        KeyRecord.decode(row.path("id").asText(), row.path("value").asText())
                                .toOption();
                if (key.isEmpty()) {
                    return Option.none();
                }
                rows.add(new KeyRow(row.path("version").asLong(), key.get()));
            }
            Set<KeyId> withdrawals = new HashSet<>();
            for (JsonNode key : body.path("withdrawals")) {
                if (!Names.isValid(key.asText())) {
                    return Option.none();
                }
                withdrawals.add(new KeyId(key.asText()));
            }
            return Option.some(
                    new KeyEvent.PeerKeys(peer.instance(), peer.domain(), rows, withdrawals));
        } catch (JsonProcessingException e) {
            return Option.none();
        }
    }
}
