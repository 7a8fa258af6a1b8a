package org.foxtailplank.review;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A consumer asks for the state of its finished jobs over one channel, without waiting for each
 * answer before the next request, after it has asked for the count of a route that never existed.
 * With trouble, the platform's store is slow meanwhile.
 */
public final class PipelineCase {
    private static final long KEEP_S = 300;
    private static final int ROUNDS = 5;
    /** Ends of a process and processes with so many ends from which on the rule is broken. */
    private static final int ENDS = 3;

    private static final int MACHINES = 2;
    private static final int REQUESTS = 400;
    private static final int REQUESTS_PER_MS = 2;
    /** With the 4 ms of an append, 60 times as long as usual. */
    private static final long SLOW_EXTRA_MS = 236;

    private static final long MAX_SLOW_MS = 4400;

    private final Deployment mDeployment;
    private final Record mRecord;
    private final Map<Node, Integer> mEnds = new HashMap<>();

    private PipelineCase(Deployment deployment, Record record) {
        mDeployment = deployment;
        mRecord = record;
    }

    public static void main(String[] args) {
        CaseRunner.run(args[0], 2, KEEP_S, (d, r, trouble) -> new PipelineCase(d, r).play(trouble));
    }

    private boolean play(boolean trouble) throws IOException, InterruptedException {
        String path = Deployment.prefix("dispatch") + "00000000000000a1";
        String body = Deployment.job("500", 1000, 1, 2, Map.of());
        Node first = mDeployment.nodes().get(0);
        mRecord.say("POST: " + Channel.ask(first.callerPort(), "POST", path, body).status());
        TimeUnit.SECONDS.sleep(4);
        List<Node> asked = mDeployment.nodes().subList(0, 3);
        for (int round = 0; round < ROUNDS; round++) {
            mDeployment.store().setExtraMs(trouble ? SLOW_EXTRA_MS : 0);
            Thread end = endSlowness();
            TimeUnit.MILLISECONDS.sleep(500);
            for (Node n : asked) {
                askPipelined(n, path);
            }
            end.interrupt();
            end.join();
            TimeUnit.SECONDS.sleep(4);
            restartEnded();
        }
        long often = mEnds.values().stream().filter(n -> n >= ENDS).count();
        for (Node n : mDeployment.nodes()) {
            for (String line : Files.readAllLines(n.log())) {
                if (line.contains("broken") || line.contains("Error")) {
                    mRecord.line(n.name() + ": " + line);
                }
            }
        }
        mRecord.say("processes that ended by themselves: " + mEnds.values());
        return often < MACHINES;
    }

    /** Lets the store be as fast as usual when interrupted, or else after the longest spell. */
    private Thread endSlowness() {
        Thread end =
                new Thread(
                        () -> {
                            try {
                                TimeUnit.MILLISECONDS.sleep(MAX_SLOW_MS);
                            } catch (InterruptedException e) {
                                // The spell ends now.
                            }
                            mDeployment.store().setExtraMs(0);
                        });
        end.setDaemon(true);
        end.start();
        return end;
    }

    private void askPipelined(Node node, String path) throws InterruptedException {
        int[] answers = {0};
        List<Thread> readers = new ArrayList<>();
        try (Channel channel = new Channel(node.callerPort(), 3000)) {
            Thread reader =
                    new Thread(
                            () -> {
                                try {
                                    while (answers[0] <= REQUESTS) {
                                        channel.receive();
                                        answers[0]++;
                                    }
                                } catch (IOException e) {
                                    mRecord.line("the channel to " + node.name() + ": " + e);
                                }
                            });
            reader.start();
            readers.add(reader);
            channel.send("GET", "/never-a-route/", "");
            for (int i = 0; i < REQUESTS; i++) {
                channel.send("GET", path, "");
                if (i % REQUESTS_PER_MS == 0) {
                    TimeUnit.MILLISECONDS.sleep(1);
                }
            }
            reader.join(3000);
        } catch (IOException e) {
            mRecord.line("the channel to " + node.name() + ": " + e);
        }
        mRecord.say(
                node.name() + ": " + answers[0] + " of " + (REQUESTS + 1) + " requests answered");
    }

    /** Starts the processes that ended again, as the platform does. */
    private void restartEnded() throws IOException, InterruptedException {
        for (Node n : mDeployment.nodes()) {
            if (!n.isAlive()) {
                mEnds.merge(n, 1, Integer::sum);
                mRecord.say(n.name() + " ended by itself with status " + n.exitStatus());
                n.start();
                mDeployment.awaitReady(n);
            }
        }
        TimeUnit.SECONDS.sleep(2);
    }
}
