package org.foxtailplank.node;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.AdmissionSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against refusals that the settings don't ask for. */
public class AdmissionSettingsReaderTest {
    private List<String> mProblems;

    @BeforeMethod
    public void setUp() {
        mProblems = new ArrayList<>();
    }

    private AdmissionSettings read(String json) throws IOException {
        JsonNode tree = new ObjectMapper().readTree(json.replace('\'', '"'));
        return new AdmissionSettingsReader(tree, mProblems).read();
    }

    @Test
    public void admissionIsOffWithoutSettings() throws IOException {
        assertEquals(read("{'jobs':{}}"), AdmissionSettings.OFF);
        assertEquals(mProblems, List.of());
    }

    @Test
    public void queuesMayDifferFromTheDefault() throws IOException {
        AdmissionSettings settings =
                read("{'jobs':{'admission':'surely-late','admissionByQueue':{'q':'off'}}}");

        assertEquals(settings.mode("q"), AdmissionMode.OFF);
        assertEquals(settings.mode("r"), AdmissionMode.SURELY_LATE);
        assertEquals(mProblems, List.of());
    }

    @Test
    public void invalidValuesAreReportedWithThoseThatAreValid() throws IOException {
        read("{'jobs':{'admission':'never','admissionByQueue':{'q':3}}}");

        assertEquals(
                mProblems,
                List.of(
                        "/jobs/admission is \"never\"; it must be one of off, surely-late,"
                                + " beyond-objective",
                        "/jobs/admissionByQueue/q is 3; it must be one of off, surely-late,"
                                + " beyond-objective"));
    }

    @Test
    public void modesByQueueThatAreNotAnObjectAreReported() throws IOException {
        read("{'jobs':{'admissionByQueue':['q']}}");

        assertEquals(mProblems.size(), 1);
    }

    @Test
    public void noAgreementSwitchesRefusalsOn() throws IOException {
        String agreed = "'platform':{'agreements':[['base','pressure']]}";

        assertEquals(read("{" + agreed + "}"), AdmissionSettings.OFF);
        assertEquals(
                read("{" + agreed + ",'jobs':{'admission':'surely-late'}}").mode("q"),
                AdmissionMode.SURELY_LATE);
    }
}
