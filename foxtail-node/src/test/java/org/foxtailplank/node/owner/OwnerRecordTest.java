package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.Test;

/** How an owner's record is written and read. */
public class OwnerRecordTest {
    @Test
    public void aRecordIsReadAsItWasWritten() {
        OwnerRecord record = new OwnerRecord("entry 1", "10.0.0.1:7000", "a1b2");

        assertEquals(OwnerRecord.decode(record.encode()), Optional.of(record));
    }

    @Test
    public void otherBytesAreNoRecord() {
        assertTrue(OwnerRecord.decode("entry".getBytes(StandardCharsets.UTF_8)).isEmpty());
        assertTrue(OwnerRecord.decode(new byte[0]).isEmpty());
    }
}
