package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests the encoding of owner records. */
public class OwnerRecordTest {
    @Test
    public void decodeReturnsEncodedRecord() {
        OwnerRecord record = new OwnerRecord("entry 1", "10.0.0.1:7000", "a1b2");

        assertEquals(OwnerRecord.decode(record.encode()), Optional.of(record));
    }

    @Test
    public void decodeRejectsOtherBytes() {
        assertTrue(OwnerRecord.decode("entry".getBytes(StandardCharsets.UTF_8)).isEmpty());
        assertTrue(OwnerRecord.decode(new byte[0]).isEmpty());
    }
}
