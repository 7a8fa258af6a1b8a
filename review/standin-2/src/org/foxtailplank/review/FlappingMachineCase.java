package org.foxtailplank.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A job has one subtask that lasts and that must run on a kind of machine of which there is one.
 * With trouble, that machine crashes, crashes again three times soon after it is back, and then stays
 * up.
 */
public final class FlappingMachineCase {
    private static final long KEEP_S = 300;

    /** How long the subtask has worked at the first crash. */
    private static final long WORK_MS = 5000;

    /** Crashes that follow, and how long the machine is up before each of them. */
    private static final int REPEATED_CRASHES = 3;

    private static final long UP_MS = 1200;
    private static final long DOWN_MS = 4500;
    private static final long PATIENCE_MS = 20_000;
    private static final String ID = "00000000000000b1";

    private final Deployment mDeployment;
    private final Record mRecord;
    private final String mMachine;

    private FlappingMachineCase(Deployment deployment, Record record) throws IOException {
        mDeployment = deployment;
        mRecord = record;
        mMachine = deployment.fleet().add("warranty", "qc-mtl", "r-warranty-0", "b");
    }

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path work = Files.createTempDirectory("review");
        int status = 2;
        Record record = new Record(folder.resolve("record.txt"));
        try (Deployment deployment = new Deployment(9, 8, KEEP_S, work, record)) {
            FlappingMachineCase played = new FlappingMachineCase(deployment, record);
            deployment.start();
            status = played.play(trouble) ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private boolean play(boolean trouble) throws IOException, InterruptedException {
        TimeUnit.SECONDS.sleep(5);
        Map<String, Object> more = Map.of("longRunning", true, "requirements", "b");
        String body = Deployment.job("last", 700, 1, 1, more);
        int port = mDeployment.nodes().get(0).callerPort();
        String path = Deployment.prefix("warranty") + ID;
        mRecord.say("POST " + path + ": " + Channel.ask(port, "POST", path, body).status());
        if (trouble && awaitRun()) {
            TimeUnit.MILLISECONDS.sleep(WORK_MS);
            mDeployment.fleet().crash(mMachine, DOWN_MS);
            for (int i = 0; i < REPEATED_CRASHES; i++) {
                TimeUnit.MILLISECONDS.sleep(DOWN_MS + UP_MS);
                mDeployment.fleet().crash(mMachine, DOWN_MS);
            }
        }
        boolean running = awaitRun();
        String answer = Channel.ask(port, "GET", path, "").body();
        mRecord.say("GET " + path + ": " + answer + (running ? ", at work" : ", not at work"));
        return !answer.contains("failed");
    }

    private boolean awaitRun() throws InterruptedException {
        for (long ms = 0; ms < PATIENCE_MS; ms += 20) {
            if (mDeployment.fleet().running().stream().anyMatch(t -> t.startsWith(ID))) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }
}
