/**
 * Abort signals for the incarnations of endpoints: attempts that run at an incarnation listen for its end.
 *
 * @module
 */
import type { Registry } from "@drumpaddle/routes";
import { setMaxListeners } from "node:events";

/** One abort signal for each incarnation that something depends on. */
export class IncarnationSignals {
    private readonly controllers = new Map<string, AbortController>();
    private overIncarnations: ReadonlySet<string> = new Set();

    /**
     * A signal that aborts when the incarnation has ended.
     *
     * @example
     * ```ts
     * signals.signalOf(endpoint.incarnation).addEventListener("abort", () => lose("reset"), { once: true });
     * ```
     */
    signalOf(incarnation: string): AbortSignal {
        const known = this.controllers.get(incarnation);
        if (known) return known.signal;
        const controller = new AbortController();
        // Every attempt at the endpoint adds a listener.
        setMaxListeners(0, controller.signal);
        this.controllers.set(incarnation, controller);
        return controller.signal;
    }

    /** Compares a new state of the registry with the last one; returns the incarnations that have been superseded since. */
    applyRegistry({ endpoints, departed }: Registry): readonly string[] {
        const over = new Set([...departed].filter(([, { isOver }]) => isOver).map(([incarnation]) => incarnation));
        const newlyOver = [...over].filter(incarnation => !this.overIncarnations.has(incarnation));
        this.overIncarnations = over;
        for (const incarnation of this.controllers.keys()) {
            if (!endpoints.has(incarnation) && !departed.has(incarnation)) this.controllers.delete(incarnation);
        }
        return newlyOver;
    }

    /** Aborts the signal of an incarnation that has ended. */
    abort(incarnation: string): void {
        this.controllers.get(incarnation)?.abort();
        this.controllers.delete(incarnation);
    }
}
