/**
 * Ends what rests on one life of an endpoint when that life is over: attempts there are lost, idle connections are closed.
 *
 * @module
 */
import type { Registry } from "@drumpaddle/routes";
import { setMaxListeners } from "node:events";

/** The signals of the lives that something rests on. */
export class LifeSignals {
    private readonly lives = new Map<string, AbortController>();
    private over: ReadonlySet<string> = new Set();

    /**
     * Aborts when the life is over.
     *
     * @example
     * ```ts
     * lives.of(endpoint.incarnation).addEventListener("abort", () => lose("reset"), { once: true });
     * ```
     */
    of(incarnation: string): AbortSignal {
        const known = this.lives.get(incarnation);
        if (known) return known.signal;
        const life = new AbortController();
        // Every attempt at the endpoint listens to it.
        setMaxListeners(0, life.signal);
        this.lives.set(incarnation, life);
        return life.signal;
    }

    /** Takes in which endpoints are there; gives the names of the lives that are found to be over only now. */
    take({ endpoints, departed }: Registry): readonly string[] {
        const over = new Set([...departed].filter(([, { isOver }]) => isOver).map(([incarnation]) => incarnation));
        const news = [...over].filter(incarnation => !this.over.has(incarnation));
        this.over = over;
        for (const incarnation of this.lives.keys()) {
            if (!endpoints.has(incarnation) && !departed.has(incarnation)) this.lives.delete(incarnation);
        }
        return news;
    }

    /** Ends what rests on a life. */
    end(incarnation: string): void {
        this.lives.get(incarnation)?.abort();
        this.lives.delete(incarnation);
    }
}
