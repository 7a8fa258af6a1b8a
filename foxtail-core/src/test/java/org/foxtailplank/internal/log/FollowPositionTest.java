package org.foxtailplank.internal.log;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.id.RecordId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A reader whose log does not go on as it should. */
public final class FollowPositionTest {

    private FollowPosition mPosition;

    @BeforeMethod
    public void readThreeRecords() {
        mPosition = new FollowPosition(1);
        mPosition.read(page(1, 4, 1, "abc"));
    }

    @Test
    public void readsOnFromTheLastRecord() {
        assertEquals(mPosition.readFrom(), 4);
        FollowOutcome.Follows follows = (FollowOutcome.Follows) mPosition.read(page(1, 6, 4, "de"));
        assertEquals(follows.fresh().size(), 2);
        assertEquals(mPosition.next(), 6);
    }

    @Test
    public void readsItsLastRecordAgainAfterAnOutage() {
        mPosition.failed();
        assertEquals(mPosition.readFrom(), 3);
        FollowOutcome.Follows follows = (FollowOutcome.Follows) mPosition.read(page(1, 5, 3, "cd"));
        assertEquals(follows.fresh(), List.of(item(4, "d")));
        assertEquals(mPosition.readFrom(), 5);
    }

    /**
     * The platform comes back with an empty log. A reader that started again at 1 would take that
     * for an empty configuration, and every entry would refuse its callers.
     */
    @Test
    public void emptyLogIsToldAndNotFollowed() {
        mPosition.failed();
        FollowOutcome expected = new FollowOutcome.CameBackShorter(4, 1);
        assertEquals(mPosition.read(page(1, 1, 1, "")), expected);
        assertEquals(mPosition.next(), 4);
        assertEquals(mPosition.read(page(1, 1, 1, "")), expected);
    }

    @Test
    public void shorterLogIsTold() {
        assertEquals(mPosition.read(page(1, 3, 3, "")), new FollowOutcome.CameBackShorter(4, 3));
    }

    /**
     * The log comes back shorter, and others fill it again before this reader looks. Its offset is
     * there, but what led to it is another history.
     */
    @Test
    public void refilledLogIsTold() {
        mPosition.failed();
        assertEquals(
                mPosition.read(page(1, 6, 3, "xyz")),
                new FollowOutcome.Rewritten(3, RecordId.of("c")));
        assertEquals(mPosition.next(), 4);
    }

    @Test
    public void logThatIsRestoredIsFollowedAgain() {
        mPosition.failed();
        mPosition.read(page(1, 1, 1, ""));
        assertEquals(mPosition.readFrom(), 3);
        assertEquals(
                mPosition.read(page(1, 5, 3, "cd")),
                new FollowOutcome.Follows(List.of(item(4, "d"))));
    }

    @Test
    public void readerBehindTheHorizonIsTold() {
        assertEquals(mPosition.read(page(7, 9, 7, "")), new FollowOutcome.BehindHorizon(4, 7));
        mPosition.moveTo(8);
        assertEquals(mPosition.readFrom(), 8);
    }

    @Test
    public void expiredLastRecordDoesNotStopTheReader() {
        mPosition.failed();
        assertEquals(
                mPosition.read(page(4, 5, 4, "d")),
                new FollowOutcome.Follows(List.of(item(4, "d"))));
    }

    private static LogPage page(long oldest, long end, long from, String ids) {
        List<LogItem> items = new ArrayList<>();
        for (int i = 0; i < ids.length(); i++) {
            items.add(item(from + i, ids.substring(i, i + 1)));
        }
        return new LogPage(oldest, end, items);
    }

    private static LogItem item(long offset, String id) {
        return new LogItem(offset, RecordId.of(id));
    }
}
