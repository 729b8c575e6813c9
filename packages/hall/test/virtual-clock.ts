/**
 * A virtual clock with timers for simulations.
 *
 * @module
 */

/** A clock in milliseconds that only {@link VirtualClock.run} advances. */
export class VirtualClock {
    now = 0;
    private readonly due = new Map<number, (() => void)[]>();

    /** Schedules a callback. */
    at(time: number, run: () => void): void {
        const list = this.due.get(time);
        if (list) list.push(run);
        else this.due.set(time, [run]);
    }

    /** Advances the clock and runs all callbacks that are due. */
    run(ms: number): void {
        for (const end = this.now + ms; this.now < end; this.now++) {
            // Callbacks that are added for this moment by others run as well.
            for (const run of this.due.get(this.now) ?? []) run();
            this.due.delete(this.now);
        }
    }
}
