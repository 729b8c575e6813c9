/**
 * Signals to the daemon, caught from the first moment on: one that comes while the daemon starts would else end it.
 *
 * @module
 */

/** What is done on a signal. */
export interface SignalHandlers {
    /** Read the settings again. */
    readonly onReload: () => void;
    /** Stop without cutting a request; a second one ends at once. */
    readonly onStop: (signal: string) => void;
}

let handlers: SignalHandlers | undefined;
const pending: ((handlers: SignalHandlers) => void)[] = [];

function deliver(call: (handlers: SignalHandlers) => void): void {
    if (handlers) call(handlers);
    else pending.push(call);
}

process.on("SIGHUP", () => deliver(({ onReload }) => onReload()));
for (const signal of ["SIGTERM", "SIGINT"]) process.on(signal, () => deliver(({ onStop }) => onStop(signal)));

/**
 * Hands signals to the daemon, those first that came while it started.
 *
 * @example
 * ```ts
 * handleSignals({ onReload: () => reload(), onStop: () => void daemon.stop() });
 * ```
 */
export function handleSignals(given: SignalHandlers): void {
    handlers = given;
    for (const call of pending.splice(0)) call(given);
}
