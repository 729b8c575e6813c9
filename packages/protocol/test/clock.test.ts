import test from "ava";
import { type Clock, createClock, type Wake } from "../src/index.js";

/** A clock whose sources are set by hand. */
function clockOf(): {
    readonly clock: Clock;
    readonly wakes: Wake[];
    /** The host is awake for a time. */
    readonly pass: (ms: number) => void;
    /** It is suspended for a time, of which the boot clock may know nothing. */
    readonly suspend: (ms: number, bootMs?: number) => void;
    /** Its time of day is set. */
    readonly set: (ms: number) => void;
    /** Its boot clock runs at another pace than its steady clock. */
    readonly drift: (ms: number) => void;
    readonly bootReadings: () => number;
} {
    const at = { steady: 1_000, timeOfDay: 1_700_000_000_000, boot: 500_000 };
    let bootReadings = 0;
    const clock = createClock({
        steady: () => at.steady,
        timeOfDay: () => at.timeOfDay,
        boot: () => {
            bootReadings += 1;
            return at.boot;
        },
    });
    const wakes: Wake[] = [];
    clock.onWake(wake => void wakes.push(wake));
    const pass = (ms: number): void => {
        at.steady += ms;
        at.timeOfDay += ms;
        at.boot += ms;
    };
    const suspend = (ms: number, bootMs = ms): void => {
        at.timeOfDay += ms;
        at.boot += bootMs;
    };
    return {
        clock,
        wakes,
        pass,
        suspend,
        set: ms => void (at.timeOfDay += ms),
        drift: ms => void (at.boot += ms),
        bootReadings: () => bootReadings,
    };
}

const CHECKED_MS = 10_000;

for (const seconds of [1, 5, 30]) {
    test(`a suspension of ${seconds} s counts, and is told before the first reading returns`, t => {
        const { clock, wakes, pass, suspend } = clockOf();
        pass(CHECKED_MS);
        const before = clock.now();
        suspend(seconds * 1_000);
        pass(1);
        t.is(clock.now(), before + seconds * 1_000 + 1);
        t.deepEqual(wakes, [{ suspendedMs: seconds * 1_000, jumpMs: seconds * 1_000 }]);
        t.is(clock.awake(), 1_000 + CHECKED_MS + 1);
    });
}

test("a time of day that is set forward or back moves nothing; forward is told as a suspicion", t => {
    const { clock, wakes, pass, set } = clockOf();
    pass(CHECKED_MS);
    const before = clock.now();
    set(7_000);
    t.is(clock.now(), before);
    t.deepEqual(wakes, [{ suspendedMs: 0, jumpMs: 7_000 }]);
    set(-7_000);
    t.is(clock.now(), before);
    t.is(wakes.length, 1);
});

test("a boot clock that was not held against the steady one yet, or runs at another pace, decides nothing", t => {
    const early = clockOf();
    early.suspend(5_000);
    t.is(early.clock.now(), 1_000);
    t.deepEqual(early.wakes, [{ suspendedMs: 0, jumpMs: 5_000 }]);
    const foreign = clockOf();
    foreign.pass(CHECKED_MS);
    foreign.drift(-8_000);
    const before = foreign.clock.now();
    foreign.suspend(5_000, 0);
    foreign.drift(5_000);
    t.is(foreign.clock.now(), before);
    const readings = foreign.bootReadings();
    foreign.pass(2 * CHECKED_MS);
    foreign.clock.now();
    t.is(foreign.bootReadings(), readings);
});

test("a clock that is slewed, or read rarely, tells of no wake, and the boot clock is read every ten seconds", t => {
    const { clock, wakes, pass, set, bootReadings } = clockOf();
    for (let at = 0; at < 1_000; at++) {
        pass(50);
        set(0.025);
        clock.now();
    }
    t.deepEqual(wakes, []);
    t.is(bootReadings(), 6);
});

test("it never goes back, whatever is set and suspended", t => {
    const { clock, pass, suspend, set } = clockOf();
    let last = clock.now();
    const steps = [() => pass(11_000), () => set(-90_000), () => suspend(3_000), () => set(90_000), () => pass(5)];
    for (let at = 0; at < 50; at++) {
        steps[at * 7 % steps.length]!();
        const now = clock.now();
        t.true(now >= last);
        last = now;
    }
});
