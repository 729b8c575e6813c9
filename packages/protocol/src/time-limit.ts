/**
 * Time limits for asynchronous calls.
 *
 * @module
 */

/**
 * Number of slices of a timer. A connection, a request and a response each take an iteration of the event loop; the fourth
 * slice is spare.
 */
const TIMER_SLICES = 4;

/**
 * Runs a call with a signal that aborts when the time limit expires or the caller's signal aborts.
 *
 * The timer and the signal are referenced until the call has settled. A derived signal, such as one of `AbortSignal.any` over
 * `AbortSignal.timeout`, may be garbage-collected before it aborts (Node 20), so that the call never ends.
 *
 * The call is raced against its signal because a library may ignore the signal in some states. The request of undici does
 * while it connects: on a host without a network a read with a limit of 1 s took 10.5 s.
 *
 * @param timeoutMs Time limit of the whole call, in milliseconds.
 *
 * @example
 * ```ts
 * await withTimeLimit(500, signal, limited => request(url, { signal: limited }));
 * ```
 */
export async function withTimeLimit<T>(
    timeoutMs: number,
    signal: AbortSignal,
    run: (limited: AbortSignal) => Promise<T>,
): Promise<T> {
    const controller = new AbortController();
    const stopTimer = setSlicedTimer(timeoutMs, () => controller.abort(new TimeLimitError(timeoutMs)));
    const onAbort = (): void => controller.abort(signal.reason);
    const rejectedOnAbort = new Promise<never>((_resolve, reject) =>
        controller.signal.addEventListener("abort", () => reject(controller.signal.reason as Error), { once: true })
    );
    if (signal.aborted) onAbort();
    else signal.addEventListener("abort", onAbort, { once: true });
    try {
        return await Promise.race([run(controller.signal), rejectedOnAbort]);
    }
    finally {
        stopTimer();
        signal.removeEventListener("abort", onAbort);
    }
}

/**
 * Sets a timer that leaves the event loop time to read. Node runs due timers before it reads sockets, so that after a delay of this
 * process longer than the time limit a single timer would expire before a response that has already arrived is read. The time is
 * therefore divided into consecutive slices: a delay uses up one slice at most, and sockets are read after each.
 *
 * @returns Cancels the timer.
 */
function setSlicedTimer(ms: number, onExpired: () => void): () => void {
    let timer: NodeJS.Timeout;
    let immediate: NodeJS.Immediate | undefined;
    let slicesLeft = TIMER_SLICES;
    const startSlice = (): void => {
        timer = setTimeout(() => {
            slicesLeft -= 1;
            if (slicesLeft > 0) startSlice();
            else immediate = setImmediate(onExpired);
        }, ms / TIMER_SLICES);
    };
    startSlice();
    return () => {
        clearTimeout(timer);
        clearImmediate(immediate);
    };
}

/** A call did not complete within its time limit. */
export class TimeLimitError extends Error {
    override readonly name = "TimeLimitError";

    constructor(timeoutMs: number) {
        super(`no answer within ${timeoutMs} ms`);
    }
}
