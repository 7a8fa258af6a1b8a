package org.foxtailplank.node;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against platforms that render the list of agreements in another way. */
public class AgreementReaderTest {
    private List<String> mProblems;

    @BeforeMethod
    public void setUp() {
        mProblems = new ArrayList<>();
    }

    private List<String> read(String agreements) throws IOException {
        String json = "{\"platform\":{\"agreements\":" + agreements + "}}";
        return AgreementReader.read(new ObjectMapper().readTree(json), mProblems);
    }

    @Test
    public void aNestedListIsRead() throws IOException {
        assertEquals(read("[[\"base\",\"drain\"]]"), List.of("base", "drain"));
        assertEquals(mProblems, List.of());
    }

    @Test
    public void platformsWithoutAgreementsAreAccepted() throws IOException {
        // The template renders the list as nothing or as null if the platform has none.
        assertEquals(read("[]"), List.of());
        assertEquals(read("[null]"), List.of());
        assertEquals(mProblems, List.of());
    }

    @Test
    public void otherValuesAreReported() throws IOException {
        assertEquals(read("[3]"), List.of());
        assertEquals(
                mProblems, List.of("/platform/agreements must be a list of names but contains 3"));
    }
}
