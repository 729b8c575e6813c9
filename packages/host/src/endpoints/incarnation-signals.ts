/**
 * Ends what rests on one life of an endpoint when that life is over: attempts there are lost, idle connections are closed.
 *
 * @module
 */
import type { Registry } from "@drumpaddle/routes";
import { setMaxListeners } from "node:events";

/** The signals of the lives that something rests on. */
export class LifeSignals {
    private readonly controllers = new Map<string, AbortController>();
    private overIncarnations: ReadonlySet<string> = new Set();

    /**
     * Aborts when the life is over.
     *
     * @example
     * ```ts
     * lives.of(endpoint.incarnation).addEventListener("abort", () => lose("reset"), { once: true });
     * ```
     */
    of(incarnation: string): AbortSignal {
        const known = this.controllers.get(incarnation);
        if (known) return known.signal;
        const controller = new AbortController();
        // Every attempt at the endpoint listens to it.
        setMaxListeners(0, controller.signal);
        this.controllers.set(incarnation, controller);
        return controller.signal;
    }

    /** Takes in which endpoints are there; gives the names of the lives that are found to be over only now. */
    take({ endpoints, departed }: Registry): readonly string[] {
        const over = new Set([...departed].filter(([, { isOver }]) => isOver).map(([incarnation]) => incarnation));
        const newlyOver = [...over].filter(incarnation => !this.overIncarnations.has(incarnation));
        this.overIncarnations = over;
        for (const incarnation of this.controllers.keys()) {
            if (!endpoints.has(incarnation) && !departed.has(incarnation)) this.controllers.delete(incarnation);
        }
        return newlyOver;
    }

    /** Ends what rests on a life. */
    end(incarnation: string): void {
        this.controllers.get(incarnation)?.abort();
        this.controllers.delete(incarnation);
    }
}
