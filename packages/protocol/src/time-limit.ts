/**
 * Bounds the time that a call may take.
 *
 * @module
 */

/** A connection that comes up, a request that leaves and an answer that comes are read in turns of their own, and one is spare. */
const SLICES = 4;

/**
 * Runs a call with a signal that aborts when the time is over or the caller's signal does.
 *
 * The timer and the signal are held until the call has settled. A signal that is only derived, as by `AbortSignal.any` from
 * `AbortSignal.timeout`, may be collected before it aborts (Node 20): the call then never ends.
 *
 * The call is raced against its signal, as a library may not heed it at every step: undici's request does not while its
 * connection is coming up, so that a read limited to 1 s took 10.5 s where the host was cut off.
 *
 * @param timeoutMs Time for the whole call, in milliseconds.
 *
 * @example
 * ```ts
 * await withinTime(500, signal, limited => request(url, { signal: limited }));
 * ```
 */
export async function withinTime<T>(
    timeoutMs: number,
    signal: AbortSignal,
    run: (limited: AbortSignal) => Promise<T>,
): Promise<T> {
    const limit = new AbortController();
    const stopTimer = afterAwake(timeoutMs, () => limit.abort(new TimeLimitError(timeoutMs)));
    const onAbort = (): void => limit.abort(signal.reason);
    const ended = new Promise<never>((_resolve, reject) =>
        limit.signal.addEventListener("abort", () => reject(limit.signal.reason as Error), { once: true })
    );
    if (signal.aborted) onAbort();
    else signal.addEventListener("abort", onAbort, { once: true });
    try {
        return await Promise.race([run(limit.signal), ended]);
    }
    finally {
        stopTimer();
        signal.removeEventListener("abort", onAbort);
    }
}

/**
 * Calls back after a time in which the host could read. Node runs timers before it reads: a host that was held up for longer than the
 * whole time would else take its own delay for the other side's. Of each delay one slice counts at most, and what has come is read
 * after each.
 *
 * @returns Ends the wait.
 */
function afterAwake(ms: number, then: () => void): () => void {
    let timer: NodeJS.Timeout;
    let look: NodeJS.Immediate | undefined;
    let left = SLICES;
    const wait = (): void => {
        timer = setTimeout(() => {
            left -= 1;
            if (left > 0) wait();
            else look = setImmediate(then);
        }, ms / SLICES);
    };
    wait();
    return () => {
        clearTimeout(timer);
        clearImmediate(look);
    };
}

/** No whole answer came in time. */
export class TimeLimitError extends Error {
    override readonly name = "TimeLimitError";

    constructor(timeoutMs: number) {
        super(`no answer within ${timeoutMs} ms`);
    }
}
