package org.foxtailplank.review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Plays a case against a deployment of nine nodes, and ends the process with its result. */
final class CaseRunner {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_PLAYED = 2;
    private static final int NODES = 9;

    /** A case that has no result by then counts as not played. */
    private static final long LIMIT_S = 115;

    private CaseRunner() {}

    /** A case; returns whether the rule held. */
    interface Case {
        boolean play(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    static void run(String folder, int minionsPerPool, long keepS, Case played) {
        int status = NOT_PLAYED;
        try {
            endLate();
            Path work = Files.createTempDirectory("review");
            Record record = new Record(Path.of(folder).resolve("record.txt"));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            try (Deployment deployment =
                    new Deployment(NODES, minionsPerPool, keepS, work, record)) {
                deployment.start();
                status = played.play(deployment, record, trouble) ? HELD : BROKEN;
            }
        } catch (Exception | LinkageError e) {
            e.printStackTrace();
            status = NOT_PLAYED;
        }
        System.exit(status);
    }

    private static void endLate() {
        Thread limit =
                new Thread(
                        () -> {
                            try {
                                TimeUnit.SECONDS.sleep(LIMIT_S);
                            } catch (InterruptedException e) {
                                return;
                            }
                            System.out.println("no result after " + LIMIT_S + " s");
                            System.exit(NOT_PLAYED);
                        });
        limit.setDaemon(true);
        limit.start();
    }
}
