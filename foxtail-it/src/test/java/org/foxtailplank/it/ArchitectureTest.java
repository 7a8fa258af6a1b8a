package org.foxtailplank.it;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** The arrows between the modules, and the core that stays without I/O. */
public class ArchitectureTest {

    private static final String ROOT = "org.foxtailplank.";
    private static final String[] CORE = {
        ROOT + "id..",
        ROOT + "request..",
        ROOT + "settings..",
        ROOT + "state..",
        ROOT + "slo..",
        ROOT + "fleet..",
        ROOT + "membership..",
        ROOT + "idempotency..",
        ROOT + "job..",
        ROOT + "port..",
        ROOT + "schedule..",
        ROOT + "internal.."
    };
    private static final String[] BINARIES = {
        ROOT + "entry..",
        ROOT + "controller..",
        ROOT + "cli..",
        ROOT + "load..",
        ROOT + "standin..",
        ROOT + "demo..",
        ROOT + "it.."
    };

    private JavaClasses mClasses;

    @BeforeClass
    public void importClasses() {
        mClasses =
                new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("org.foxtailplank");
    }

    @Test
    public void theCoreOpensNoSocketOrFileAndStartsNoThread() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.apache.pekko..",
                        "io.netty..",
                        "java.nio.file..",
                        "java.nio.channels..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching(
                        "java\\.lang\\.(Thread|Process.*)|java\\.io\\.File.*"
                                + "|java\\.net\\.(Server)?Socket"
                                + "|java\\.util\\.concurrent\\.Executor.*|java\\.time\\.Clock")
                .check(mClasses);
    }

    @Test
    public void theCoreReadsNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .check(mClasses);
    }

    @Test
    public void theCoreKnowsNoOtherModule() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(ROOT + "wire..", ROOT + "platform..", ROOT + "process..")
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage(BINARIES)
                .check(mClasses);
    }

    @Test
    public void nothingSharedDependsOnABinary() {
        noClasses()
                .that()
                .resideInAnyPackage(ROOT + "wire..", ROOT + "platform..", ROOT + "process..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(BINARIES)
                .check(mClasses);
    }

    @Test
    public void onlyTheNodeTheDemoAndTheTestsUseTheController() {
        classes()
                .that()
                .resideInAPackage(ROOT + "controller..")
                .should()
                .onlyBeAccessed()
                .byAnyPackage(
                        ROOT + "controller..", ROOT + "entry..", ROOT + "demo..", ROOT + "it..")
                .check(mClasses);
    }
}
