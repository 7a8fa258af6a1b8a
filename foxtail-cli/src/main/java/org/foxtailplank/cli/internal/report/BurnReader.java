package org.foxtailplank.cli.internal.report;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.platform.HttpPlatform;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.platform.burn.BurnLog;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.settings.PlatformSettings;
import org.foxtailplank.slo.BurnBook;
import org.foxtailplank.wire.BurnCodec;

/** Reads the interval reports of all nodes, present and replaced, from the platform's log. */
final class BurnReader {
    private static final int PAGE = 1000;

    private BurnReader() {}

    static BurnBook read(PlatformSettings platform, PekkoRuntime runtime, Duration window)
            throws ProcessException, InterruptedException {
        PlatformLog log =
                HttpPlatform.at(platform.address(), platform.timeout(), runtime.system()).log();
        BurnBook book = BurnBook.keeping(window);
        long next = 1;
        while (true) {
            ReadResult page = page(platform, log, next);
            for (StoredEntry entry : page.entries()) {
                BurnCodec.decode(entry.data()).ifPresent(book::add);
                next = entry.offset() + 1;
            }
            if (page.entries().isEmpty() && page.oldest() <= next) {
                return book;
            }
            next = Math.max(next, page.oldest());
        }
    }

    private static ReadResult page(PlatformSettings platform, PlatformLog log, long from)
            throws ProcessException, InterruptedException {
        try {
            return log.read(BurnLog.STREAM, from, PAGE, Duration.ZERO).toCompletableFuture().get();
        } catch (ExecutionException e) {
            throw ProcessException.failed(
                    CliMessages.platformAway(platform.address(), e.getCause().getMessage()), e);
        }
    }
}
