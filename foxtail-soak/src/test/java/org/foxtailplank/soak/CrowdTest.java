package org.foxtailplank.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.foxtailplank.soak.Crowd.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests a node's process with crowds of clients that don't finish or read what they should: it
 * lives, its memory and descriptors stay under a bound, and an ordinary request is answered.
 */
public class CrowdTest {
    private static final int CROWD = 200;
    private static final int MAX_BODY = 256 << 10;
    private static final int FAR_OVER = 4 << 20;
    private static final int PIECE = 1 << 10;
    private static final int MANY_ANSWERS = 2 << 20;
    private static final String SUBMIT =
            "POST /quick/00000000000000ff HTTP/1.1\r\nHost: " + CrowdNode.HOST + "\r\n";
    private static final String CHUNKED = SUBMIT + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String READY = "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n";

    private static final Script LARGE =
            Script.of(SUBMIT + "Content-Length: " + MAX_BODY + "\r\n\r\n", "x", MAX_BODY - 1);
    private static final Script LARGE_CHUNKS = chunks(MAX_BODY / 4, MAX_BODY / 4 * 4);
    private static final Script SMALL_CHUNKS = chunks(1, MAX_BODY - 1);
    private static final Script ANNOUNCED =
            Script.of(SUBMIT + "Content-Length: " + FAR_OVER + "\r\n\r\n", "x", FAR_OVER - 1);
    private static final Script EXPECTING =
            Script.of(
                    SUBMIT + "Expect: 100-continue\r\nContent-Length: " + FAR_OVER + "\r\n\r\n",
                    "x",
                    FAR_OVER - 1);
    private static final Script EXPECTING_LARGE =
            Script.of(
                    SUBMIT + "Expect: 100-continue\r\nContent-Length: " + MAX_BODY + "\r\n\r\n",
                    "x",
                    MAX_BODY - 1);
    private static final Script NOT_ANNOUNCED = chunks(MAX_BODY / 4, FAR_OVER);
    private static final Script WITHOUT_LENGTH = Script.of(SUBMIT + "\r\n", "x", FAR_OVER);
    private static final Script MANY_HEADERS = Script.of(SUBMIT, "a:b\r\n", 8000);
    private static final Script ENDLESS_HEADERS = Script.of(SUBMIT, "a:b\r\n", 1 << 20);
    private static final Script ENDLESS_HEADER = Script.of(SUBMIT + "a: ", "x", 1 << 20);
    private static final Script ENDLESS_LINE = Script.of("GET /", "x", 1 << 20);
    private static final Script UNREAD_ANSWERS = Script.of("", READY, MANY_ANSWERS);
    private static final Script NOTHING = Script.of("", "x", 0);

    private CrowdNode mNode;

    @BeforeMethod
    public void startNode(Method test) throws Exception {
        mNode = new CrowdNode(Path.of("target", "crowd", test.getName()));
        assertEquals(mNode.submitUntilAccepted() / 100, 2, mNode.output());
    }

    @AfterMethod(alwaysRun = true)
    public void stopNode() {
        mNode.close();
    }

    /** A body of {@code bytes} in chunks, without the last chunk, which is empty. */
    private static Script chunks(int chunkBytes, long bytes) {
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
        return Script.of(CHUNKED, chunk, bytes / chunkBytes * chunk.length());
    }

    private void checkNode(String crowd, InetSocketAddress listener, byte[] ordinaryRequest)
            throws IOException, InterruptedException {
        int status = mNode.askUntilAccepted(listener, ordinaryRequest);
        mNode.countDescriptors();
        assertTrue(mNode.isAlive(), crowd + " ended the process: " + mNode.output());
        long memoryMb = mNode.peakMemoryMb();
        String seen =
                String.format(
                        "%s: ordinary request %d, %d MiB of %d, %d descriptors of %d",
                        crowd,
                        status,
                        memoryMb,
                        CrowdNode.maxMemoryMb(),
                        mNode.mostDescriptors(),
                        CrowdNode.maxDescriptors());
        System.out.println(seen);
        assertEquals(status / 100, 2, seen);
        assertTrue(memoryMb <= CrowdNode.maxMemoryMb(), seen);
        assertTrue(mNode.mostDescriptors() <= CrowdNode.maxDescriptors(), seen);
    }

    /** Plays a crowd of equal parts, and checks the node while its connections are still open. */
    private void play(String name, Script... scripts) throws Exception {
        try (Crowd crowd = new Crowd()) {
            for (Script s : scripts) {
                crowd.join(mNode.callers(), CROWD / scripts.length, s);
            }
            crowd.send(mNode::countDescriptors);
            checkNode(name, mNode.callers(), mNode.submission(0));
        }
    }

    private void playElsewhere(String name, InetSocketAddress listener, Script script)
            throws Exception {
        try (Crowd crowd = new Crowd()) {
            crowd.join(listener, CROWD, script);
            crowd.send(mNode::countDescriptors);
            checkNode(name, listener, READY.getBytes(StandardCharsets.US_ASCII));
            checkNode(name, mNode.callers(), mNode.submission(0));
        }
    }

    /** Guards against a process that runs out of memory for unfinished bodies of legal size. */
    @Test
    public void largeBodiesThatStopShortDoNotEndTheProcess() throws Exception {
        play("large bodies", LARGE);
    }

    /** Guards against the same while the bodies come piece by piece. */
    @Test
    public void largeBodiesInPiecesDoNotEndTheProcess() throws Exception {
        play("large bodies in pieces", LARGE.inPiecesOf(PIECE));
    }

    /** Guards against a process that runs out of memory for whole bodies of legal size. */
    @Test
    public void wholeLargeBodiesDoNotEndTheProcess() throws Exception {
        String whole = new String(mNode.submission(MAX_BODY), StandardCharsets.US_ASCII);
        play("whole large bodies", new Script(whole, new byte[1], 0, PIECE));
    }

    /** Guards against whole bodies that wait for the answers to earlier ones. */
    @Test
    public void pipelinedLargeBodiesDoNotEndTheProcess() throws Exception {
        byte[] whole = mNode.submission(MAX_BODY);
        play("pipelined large bodies", new Script("", whole, 8L * whole.length, whole.length));
    }

    /** Guards against the same for chunked bodies, whose size isn't announced. */
    @Test
    public void largeChunksWithoutTheLastDoNotEndTheProcess() throws Exception {
        play("large chunks", LARGE_CHUNKS);
    }

    /** Guards against chunks that cost more memory and time than their bytes. */
    @Test
    public void chunksOfOneByteDoNotEndTheProcess() throws Exception {
        play("small chunks", SMALL_CHUNKS);
    }

    /** Guards against bodies over the limit that are stored, or read for ever. */
    @Test
    public void announcedBodiesOverTheLimitDoNotEndTheProcess() throws Exception {
        play("announced bodies over the limit", ANNOUNCED, EXPECTING, EXPECTING_LARGE);
    }

    /** Guards against the same if only the bytes themselves show that a body is too large. */
    @Test
    public void bodiesOverTheLimitWithoutNoticeDoNotEndTheProcess() throws Exception {
        play("bodies over the limit", NOT_ANNOUNCED, WITHOUT_LENGTH);
    }

    /** Guards against unfinished headers that cost far more memory than their bytes. */
    @Test
    public void headersThatNeverEndDoNotEndTheProcess() throws Exception {
        play("headers", MANY_HEADERS);
    }

    /** Guards against headers and request lines that are stored without a limit. */
    @Test
    public void endlessHeadersAndLinesDoNotEndTheProcess() throws Exception {
        play("endless headers", ENDLESS_HEADERS, ENDLESS_HEADER, ENDLESS_LINE);
    }

    /** Guards against answers that pile up for clients that don't read. */
    @Test
    public void answersThatNobodyReadsDoNotEndTheProcess() throws Exception {
        play("unread answers", UNREAD_ANSWERS);
    }

    /** Guards against connections that use up the descriptors. */
    @Test
    public void silentConnectionsDoNotUseUpTheDescriptors() throws Exception {
        try (Crowd crowd = new Crowd()) {
            crowd.join(mNode.callers(), 2 * CROWD, NOTHING);
            mNode.countDescriptors();
            checkNode("silent connections", mNode.callers(), mNode.submission(0));
        }
    }

    /** Guards against limits that hold for each kind of crowd only. */
    @Test
    public void mixedCrowdDoesNotEndTheProcess() throws Exception {
        play(
                "mix",
                LARGE,
                LARGE.inPiecesOf(PIECE),
                LARGE_CHUNKS,
                SMALL_CHUNKS,
                ANNOUNCED,
                NOT_ANNOUNCED,
                MANY_HEADERS,
                UNREAD_ANSWERS);
    }

    /** Guards against limits for callers that don't hold for readiness checks. */
    @Test
    public void crowdOfReadinessChecksDoesNotEndTheProcess() throws Exception {
        playElsewhere("readiness", mNode.readiness(), LARGE);
    }

    /** Guards against limits for callers that don't hold for metrics. */
    @Test
    public void crowdOfMetricsReadersDoesNotEndTheProcess() throws Exception {
        playElsewhere("metrics", mNode.metrics(), LARGE);
    }

    /** Guards against large answers that pile up for clients that don't read. */
    @Test
    public void metricsThatNobodyReadsDoNotEndTheProcess() throws Exception {
        playElsewhere("unread metrics", mNode.metrics(), UNREAD_ANSWERS);
    }

    /** Guards against limits that slow callers inside the limits meet in calm. */
    @Test
    public void slowBodyOfTheLargestSizeIsAccepted() throws Exception {
        int pieces = 40;
        byte[] request = mNode.submission(MAX_BODY);
        int piece = request.length / pieces;

        assertEquals(CrowdNode.ask(mNode.callers(), request, piece, 100) / 100, 2);
        assertEquals(CrowdNode.ask(mNode.readiness(), request, piece, 20) / 100, 2);
        assertEquals(CrowdNode.ask(mNode.metrics(), request, piece, 20) / 100, 2);
    }
}
