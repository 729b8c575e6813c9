import test from "ava";
import { type Clock, createClock, type Wake } from "../src/index.js";

/** Creates a clock with sources that the test controls. */
function fakeClock(): {
    readonly clock: Clock;
    readonly wakes: Wake[];
    /** Advances all clocks: the host is awake. */
    readonly pass: (ms: number) => void;
    /** Suspends the host; the boot clock advances by `bootMs`. */
    readonly suspend: (ms: number, bootMs?: number) => void;
    /** Sets the time of day forward, or back if negative. */
    readonly set: (ms: number) => void;
    /** Moves the boot clock alone, as if it ran at another rate than the monotonic clock. */
    readonly drift: (ms: number) => void;
    readonly bootReadings: () => number;
} {
    const at = { steady: 1_000, timeOfDay: 1_700_000_000_000, boot: 500_000 };
    let bootReadings = 0;
    const clock = createClock({
        monotonic: () => at.steady,
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

const BOOT_CHECK_MS = 10_000;

for (const seconds of [1, 5, 30]) {
    test(`a suspension of ${seconds} s is included, and reported before the first call of now returns`, t => {
        const { clock, wakes, pass, suspend } = fakeClock();
        pass(BOOT_CHECK_MS);
        const before = clock.now();
        suspend(seconds * 1_000);
        pass(1);
        t.is(clock.now(), before + seconds * 1_000 + 1);
        t.deepEqual(wakes, [{ suspendedMs: seconds * 1_000, jumpMs: seconds * 1_000 }]);
        t.is(clock.awakeMs(), 1_000 + BOOT_CHECK_MS + 1);
    });
}

test("setting the time of day does not change the clock; only a forward jump is reported", t => {
    const { clock, wakes, pass, set } = fakeClock();
    pass(BOOT_CHECK_MS);
    const before = clock.now();
    set(7_000);
    t.is(clock.now(), before);
    t.deepEqual(wakes, [{ suspendedMs: 0, jumpMs: 7_000 }]);
    set(-7_000);
    t.is(clock.now(), before);
    t.is(wakes.length, 1);
});

test("a boot clock that was not compared with the monotonic clock yet, or drifts from it, is ignored", t => {
    const early = fakeClock();
    early.suspend(5_000);
    t.is(early.clock.now(), 1_000);
    t.deepEqual(early.wakes, [{ suspendedMs: 0, jumpMs: 5_000 }]);
    const foreign = fakeClock();
    foreign.pass(BOOT_CHECK_MS);
    foreign.drift(-8_000);
    const before = foreign.clock.now();
    foreign.suspend(5_000, 0);
    foreign.drift(5_000);
    t.is(foreign.clock.now(), before);
    const readings = foreign.bootReadings();
    foreign.pass(2 * BOOT_CHECK_MS);
    foreign.clock.now();
    t.is(foreign.bootReadings(), readings);
});

test("slewing reports no jump, and the boot clock is read every ten seconds", t => {
    const { clock, wakes, pass, set, bootReadings } = fakeClock();
    for (let at = 0; at < 1_000; at++) {
        pass(50);
        set(0.025);
        clock.now();
    }
    t.deepEqual(wakes, []);
    t.is(bootReadings(), 6);
});

test("the clock never goes back, whatever the time of day and suspensions do", t => {
    const { clock, pass, suspend, set } = fakeClock();
    let last = clock.now();
    const steps = [() => pass(11_000), () => set(-90_000), () => suspend(3_000), () => set(90_000), () => pass(5)];
    for (let at = 0; at < 50; at++) {
        steps[at * 7 % steps.length]!();
        const now = clock.now();
        t.true(now >= last);
        last = now;
    }
});
