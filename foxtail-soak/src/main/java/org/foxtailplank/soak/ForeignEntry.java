package org.foxtailplank.soak;

/** What other writers leave in the workers' directory. */
enum ForeignEntry {
    NO_JSON("{\"service\":"),
    DEEPLY_NESTED("{\"x\":".repeat(20_000)),
    NESTED_WITHIN_LIMITS(entry("quick", "127.0.0.1:1", "8000", ",\"x\":" + nested(900))),
    LARGE_CAPACITY(entry("quick", "127.0.0.1:1", "9223372036854775807", "")),
    LONG_NUMBER(entry("quick", "127.0.0.1:1", "9".repeat(900), "")),
    INFINITE_NUMBER(entry("quick", "127.0.0.1:1", "1e999", "")),
    PORT_OUT_OF_RANGE(entry("quick", "127.0.0.1:65536", "8000", "")),
    LATER_START(entry("quick", "127.0.0.1:1", "8000", ",\"born\":221845392000000")),
    LATEST_START(entry("quick", "127.0.0.1:1", "8000", ",\"born\":9223372036854775807")),
    LONG_SERVICE(entry("q".repeat(100_000), "127.0.0.1:1", "8000", "")),
    UNKNOWN_SERVICE(entry("nobodys", "127.0.0.1:1", "8000", "")),
    NOBODY_LISTENS(entry("quick", "127.0.0.1:1", "8000", ""));

    private final String mValue;

    ForeignEntry(String value) {
        mValue = value;
    }

    /** The kinds follow each other. */
    static ForeignEntry of(int number) {
        return values()[number % values().length];
    }

    String value() {
        return mValue;
    }

    private static String nested(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }

    private static String entry(String service, String address, String cpu, String more) {
        return String.format(
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-0\",\"version\":\"1\","
                        + "\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,"
                        + "\"capacity\":{\"cpu\":%s,\"memMb\":65536,\"gpu\":0},"
                        + "\"labels\":[\"kind-a\",\"r1\"]%s}",
                service, address, cpu, more);
    }
}
