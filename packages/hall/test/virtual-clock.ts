/**
 * Time that passes by milliseconds, and what is due in it.
 *
 * @module
 */

/** A clock that is stepped by hand. */
export class VirtualClock {
    now = 0;
    private readonly due = new Map<number, (() => void)[]>();

    /** Does something at a time, in milliseconds. */
    at(time: number, run: () => void): void {
        const list = this.due.get(time);
        if (list) list.push(run);
        else this.due.set(time, [run]);
    }

    /** Lets time pass. */
    run(ms: number): void {
        for (const end = this.now + ms; this.now < end; this.now++) {
            // What is added for this moment meanwhile is run as well.
            for (const run of this.due.get(this.now) ?? []) run();
            this.due.delete(this.now);
        }
    }
}
