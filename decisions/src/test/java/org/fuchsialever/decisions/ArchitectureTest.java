package org.fuchsialever.decisions;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.junit.jupiter.api.Test;

/** Guards against decisions that depend on message encodings, transports, stores or clocks. */
class ArchitectureTest {
    private final JavaClasses mClasses =
            new ClassFileImporter()
                    .withImportOption(location -> !location.contains("/test-classes/"))
                    .importPackages("org.fuchsialever.decisions");

    @Test
    void decisionsUseNoTransportEncodingOrStore() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "reactor..",
                        "org.reactivestreams..",
                        "com.google.protobuf..",
                        "com.fasterxml..",
                        "java.net.http..",
                        "java.nio.channels..",
                        "org.fuchsialever.services..",
                        "org.fuchsialever.wire..")
                .check(mClasses);
    }

    @Test
    void decisionsReadNoClockAndStartNoThread() {
        noClasses().should().callMethod(System.class, "nanoTime").check(mClasses);
        noClasses().should().callMethod(System.class, "currentTimeMillis").check(mClasses);
        noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class).check(mClasses);
    }
}
