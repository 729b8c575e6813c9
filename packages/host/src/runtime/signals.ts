/**
 * Handles signals to the process from the moment this module is loaded; otherwise a signal while the daemon starts would end it.
 *
 * @module
 */

/** The daemon's reactions to signals. */
export interface SignalHandlers {
    /** Reads the settings again. */
    readonly onReload: () => void;
    /** Stops without cutting requests. Called for each signal, also if the process is stopping. */
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
 * Sets the handlers of signals, and delivers the signals that came before.
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
