package org.foxtailplank.it.history;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was seen in one run, in the order in which it was recorded; safe for many threads. */
public final class History {

    private static final ObjectMapper JSON = new ObjectMapper().registerModule(new Jdk8Module());

    private final List<HistoryEvent> mEvents = new ArrayList<>();

    /** Records an event. */
    public synchronized void add(HistoryEvent event) {
        mEvents.add(event);
    }

    /** All events so far. */
    public synchronized List<HistoryEvent> events() {
        return List.copyOf(mEvents);
    }

    /** Writes one JSON object a line. */
    public void write(Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (HistoryEvent event : events()) {
                out.write(JSON.writerFor(HistoryEvent.class).writeValueAsString(event));
                out.newLine();
            }
        }
    }

    /** Reads what was written. */
    public static History read(Path file) throws IOException {
        History history = new History();
        try (BufferedReader in = Files.newBufferedReader(file)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                history.add(JSON.readValue(line, HistoryEvent.class));
            }
        }
        return history;
    }
}
