/**
 * Races attempts that start one after another, as "Happy Eyeballs" (RFC 8305) does with the addresses of a server.
 *
 * @module
 */

/** One attempt. Its signal aborts when another one has succeeded or the race was called off. */
export type RaceStart<T> = (signal: AbortSignal) => Promise<T>;

/** What a race needs besides its attempts. */
export interface RaceCfg<T> {
    /** The next attempt starts this long after the one before it, or as soon as that has failed. */
    readonly delayMs: number;
    /** Receives the result of an attempt that succeeded too late. */
    readonly discard: (late: T) => void;
    readonly signal: AbortSignal;
}

/**
 * Resolves with the first result. Rejects with the error of the first attempt once all have failed, or with the signal's reason.
 *
 * @example
 * ```ts
 * const socket = await raceStaggered([direct, viaPeer], { delayMs: 150, discard: late => late.destroy(), signal });
 * ```
 */
export function raceStaggered<T>(
    starts: readonly RaceStart<T>[],
    { delayMs, discard, signal }: RaceCfg<T>,
): Promise<T> {
    return new Promise((resolve, reject) => {
        const losers = new AbortController();
        let timer: NodeJS.Timeout | undefined;
        let started = 0;
        const errors = new Map<number, Error>();
        let isOver = false;
        const finish = (settle: () => void): void => {
            isOver = true;
            clearTimeout(timer);
            signal.removeEventListener("abort", onAbort);
            settle();
            losers.abort(new Error("another attempt was first"));
        };
        const onAbort = (): void => finish(() => reject(signal.reason as Error));
        const startNext = (): void => {
            clearTimeout(timer);
            const start = starts[started];
            if (!start || isOver) return;
            const place = started;
            started += 1;
            timer = setTimeout(startNext, delayMs);
            start(losers.signal).then(onResult, (err: Error) => onFailure(place, err));
        };
        const onResult = (result: T): void => isOver ? discard(result) : finish(() => resolve(result));
        const onFailure = (place: number, err: Error): void => {
            errors.set(place, err);
            if (isOver) return;
            if (errors.size === starts.length) finish(() => reject(errors.get(0)!));
            else startNext();
        };
        if (signal.aborted) return onAbort();
        signal.addEventListener("abort", onAbort, { once: true });
        if (starts.length === 0) finish(() => reject(new Error("nothing to try")));
        else startNext();
    });
}
