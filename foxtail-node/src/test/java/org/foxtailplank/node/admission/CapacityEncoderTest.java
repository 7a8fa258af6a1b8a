package org.foxtailplank.node.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.admission.AdmittedShare;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.QueueCapacity.Joining;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against reports that nodes understand differently, or that are too large. */
public class CapacityEncoderTest {
    private static final int MAX_BYTES = 180;
    private static final long OFFSET_MS = 50;

    private CapacityEncoder mEncoder;
    private CapacityDecoder mDecoder;

    @BeforeMethod
    public void connect() {
        mEncoder = new CapacityEncoder(MAX_BYTES);
        mDecoder = new CapacityDecoder();
    }

    private static ReportedPool pool(
            String service, long measuredMs, Map<String, OrganisationCapacity> organisations) {
        QueueCapacity capacity =
                new QueueCapacity(
                        service,
                        measuredMs,
                        40_000,
                        1501,
                        List.of(new Joining(300, 16_000)),
                        100_000,
                        200_000,
                        64_000,
                        organisations);
        return new ReportedPool(capacity, new AdmittedShare(32_000), 24_576);
    }

    private Optional<byte[]> encode(List<ReportedPool> pools) {
        return mEncoder.encode(pools, new ReportImages());
    }

    private List<ReportedPool> transfer(ReportedPool... pools) throws IOException {
        byte[] bytes = encode(List.of(pools)).orElseThrow();
        assertTrue(bytes.length <= MAX_BYTES, bytes.length + " bytes");
        return mDecoder.decode(bytes, OFFSET_MS);
    }

    @Test
    public void aReportArrivesInTheTimeOfTheReceiver() throws IOException {
        OrganisationCapacity acme = new OrganisationCapacity(8000, 32_000);
        ReportedPool sent = pool("s", 5000, Map.of("acme", acme));
        ReportedPool expected = pool("s", 5000 + OFFSET_MS, Map.of("acme", acme));

        assertEquals(transfer(sent), List.of(expected));
    }

    @Test
    public void reportsOfOneMeasurementShareTheImageOfAPool() {
        // Guards against the sorting and rounding of organisations for each of 40 followers.
        QueueCapacity capacity = pool("s", 5000, Map.of()).capacity();
        ReportImages images = new ReportImages();
        PoolImage first = images.of(new ReportedPool(capacity, new AdmittedShare(1000), 1));
        PoolImage second = images.of(new ReportedPool(capacity, new AdmittedShare(2000), 2));

        assertSame(first.organisations(), second.organisations());
        assertSame(first.joining(), second.joining());
        assertEquals(second.values().subList(5, 7), List.of(2L, 2L));
    }

    @Test
    public void anUnchangedPoolIsReportedAsMeasuredAgain() throws IOException {
        transfer(pool("s", 5000, Map.of()));
        byte[] bytes = encode(List.of(pool("s", 5000, Map.of()))).orElseThrow();

        assertTrue(bytes.length <= 4, bytes.length + " bytes");
        assertEquals(mDecoder.decode(bytes, 0), List.of(pool("s", 5000, Map.of())));
    }

    @Test
    public void valuesThatBecomeZeroAreReported() throws IOException {
        transfer(TestPools.pool("s", 1000, 4, 900, 500));
        ReportedPool idle = TestPools.pool("s", 1200, 4, 0, 0);

        assertEquals(transfer(idle).get(0).capacity().inTimeWork(), 0);
    }

    @Test
    public void anOrganisationWhoseCapNoLongerBindsIsRemoved() throws IOException {
        transfer(pool("s", 5000, Map.of("acme", new OrganisationCapacity(8000, 32_000))));

        List<ReportedPool> pools = transfer(pool("s", 5200, Map.of()));
        assertEquals(pools.get(0).capacity().organisations(), Map.of());
    }

    @Test
    public void noMoreThanEightOrganisationsAreReported() throws IOException {
        Map<String, OrganisationCapacity> many = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            many.put("o" + i, new OrganisationCapacity(1000, 1000L * i));
        }
        Map<String, OrganisationCapacity> known =
                transfer(pool("s", 5000, many)).get(0).capacity().organisations();

        assertEquals(known.size(), 8);
        assertTrue(known.containsKey("o11"), "the one that waits longest");
    }

    @Test
    public void anOrganisationWhoseChangeDoesNotFitIsUnknown() throws IOException {
        // A node must not go on refusing its jobs by an outdated amount of waiting work.
        String longName = "a".repeat(120);
        OrganisationCapacity before = new OrganisationCapacity(8000, 32_000_000);
        OrganisationCapacity after = new OrganisationCapacity(8000, 0);
        transfer(pool("s", 5000, Map.of(longName, before)));
        List<ReportedPool> pools = new ArrayList<>();
        pools.add(pool("s", 5200, Map.of(longName, after)));
        for (int i = 0; i < 8; i++) {
            pools.add(pool("another-service-" + i, 5200, Map.of()));
        }
        byte[] bytes = encode(pools).orElseThrow();
        assertTrue(bytes.length <= MAX_BYTES, bytes.length + " bytes");

        Map<String, OrganisationCapacity> known =
                mDecoder.decode(bytes, 0).get(0).capacity().organisations();
        assertTrue(known.isEmpty() || known.equals(Map.of(longName, after)), known.toString());
    }

    @Test
    public void poolsThatDoNotFitKeepTheirOlderMeasurementAndComeNext() throws IOException {
        List<ReportedPool> pools = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            pools.add(pool("a-service-with-a-long-name-" + i, 5000, Map.of()));
        }
        Map<String, ReportedPool> known = new HashMap<>();
        for (int report = 0; report < 25; report++) {
            byte[] bytes = encode(pools).orElseThrow();
            assertTrue(bytes.length <= MAX_BYTES, bytes.length + " bytes");
            mDecoder.decode(bytes, 0).forEach(p -> known.put(p.capacity().service(), p));
        }

        assertEquals(known.size(), pools.size());
        pools.forEach(p -> assertEquals(known.get(p.capacity().service()), p));
    }

    @Test
    public void aServiceWhoseAdmissionIsSwitchedOffIsDropped() throws IOException {
        transfer(pool("s", 5000, Map.of()), pool("t", 5000, Map.of()));

        assertEquals(transfer(pool("t", 5200, Map.of())).size(), 1);
        assertEquals(transfer().size(), 0);
        assertTrue(encode(List.of()).isEmpty());
    }

    @Test
    public void nothingIsReportedWhileNoServiceHasAdmission() {
        assertTrue(encode(List.of()).isEmpty());
    }

    @Test(expectedExceptions = IOException.class)
    public void malformedReportsAreRejected() throws IOException {
        mDecoder.decode(new byte[] {34, 2, 8, 99}, 0);
    }
}
