package org.foxtailplank.node.admission;

/** Field numbers and units of the content of capacity reports. */
final class CapacityFields {
    /** Time of the measurement on the owner's monotonic clock, in milliseconds. */
    static final int MEASURED_MS = 1;

    /** Whether everything known from earlier reports of the connection is dropped. */
    static final int RESET = 2;

    /** Index of a pool that has changed and whose change isn't in this report. */
    static final int DEFERRED = 3;

    /** Changes of a pool. */
    static final int POOL = 4;

    static final int INDEX = 1;
    static final int NAME = 2;

    /** Number of the first of {@link PoolImage#values}, in their order. */
    static final int FIRST_VALUE = 3;

    /** Joining capacity: pairs of a time in units of {@link #JOIN_UNIT_MS} and millicores. */
    static final int JOINING = 10;

    /** Changes of an organisation of the pool. */
    static final int ORGANISATION = 11;

    /** Index of an organisation whose cap no longer binds. */
    static final int DROPPED_ORGANISATION = 12;

    static final int MILLI_CORES = 3;
    static final int WAITING_WORK = 4;

    /** Work is sent in milliseconds times cores. */
    static final int WORK_UNIT = 1000;

    /** Resolution of the times at which capacity joins, in milliseconds. */
    static final long JOIN_UNIT_MS = 100;

    /** Most organisations of a pool in a report. */
    static final int MAX_ORGANISATIONS = 8;

    /** Most pools in the reports of a connection. */
    static final int MAX_POOLS = 32;

    /** Largest index of an organisation on a connection. */
    static final int MAX_ORGANISATION_INDEX = 4096;

    private CapacityFields() {}
}
