/**
 * Logs why an attempt counts as not run, which is what allows another one for a call that runs at most once.
 *
 * @module
 */
import type { Clock } from "@drumpaddle/protocol";
import type { Log } from "../runtime/log.js";
import type { Metrics, NotRunCause } from "../runtime/metrics.js";
import { type CallProgress, connectionFields } from "./call-progress.js";
import type { AttemptSink } from "./request-driver.js";

/** An attempt whose end is logged if it did not run. */
export interface LoggedAttempt {
    readonly req: string;
    readonly attempt: string;
    readonly endpoint: string;
}

/** Dependencies of {@link logNotRun}. */
export interface AttemptLogDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Pick<Metrics, "countNotRun">;
    readonly logCalls: boolean;
}

/**
 * Wraps a sink so that an attempt that was refused or never sent is counted and logged with the evidence: when its first byte left
 * (`sent_ago_ms`), on which connection, and what the endpoint answered.
 *
 * @example
 * ```ts
 * startAttempt(connections, wire, { ...attempt, sink: logNotRun(sink, deps, progress, { req, attempt, endpoint }) });
 * ```
 */
export function logNotRun<T>(
    sink: AttemptSink<T>,
    { clock, log, metrics, logCalls }: AttemptLogDeps,
    progress: CallProgress,
    attempt: LoggedAttempt,
): AttemptSink<T> {
    let sentAt: number | undefined;
    const record = (cause: NotRunCause, detail: string): void => {
        metrics.countNotRun(cause);
        if (!logCalls) return;
        const isRefused = cause === "refused";
        log.info({
            ...attempt,
            cause,
            detail,
            status: isRefused ? progress.lastAnswer?.status : undefined,
            names_call: isRefused ? progress.lastAnswer?.namesCall : undefined,
            sent_ago_ms: sentAt === undefined ? undefined : Math.round(clock.now() - sentAt),
            ...connectionFields(progress),
            through: progress.connection?.route?.host,
        }, "attempt_not_run");
    };
    return {
        report: (event, piece) => {
            if (event.kind === "sending") sentAt = clock.now();
            if (event.kind === "endpointRefused") record("refused", event.detail);
            if (event.kind === "lost" && event.cause === "connect") record("never_sent", event.detail);
            return sink.report(event, piece);
        },
    };
}
