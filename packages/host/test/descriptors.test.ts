import test from "ava";
import { DescriptorLimit, hasEnoughDescriptors, type OpenSockets } from "../src/runtime/descriptors.js";

const MOST = 4_100;
const NONE: OpenSockets = { callers: 0, endpoints: 0, peers: 0 };

test("calls are refused while descriptors are left to answer, but not before they are nearly used up", t => {
    let callers = 0;
    while (hasEnoughDescriptors(MOST, { ...NONE, callers, endpoints: callers, peers: 90 })) callers += 1;
    const used = 2 * callers + 90;
    t.true(used + 200 < MOST, "200 are kept for files");
    t.true(used > 0.9 * MOST);
});

test("without a known limit no call is refused; with too low a limit every call is", t => {
    t.true(hasEnoughDescriptors(undefined, { callers: 1e6, endpoints: 1e6, peers: 1e6 }));
    t.false(hasEnoughDescriptors(0, NONE));
});

test("idle connections are closed before a call is refused; a shortage is logged when it begins and ends", t => {
    let open: OpenSockets = { callers: 2_000, endpoints: 1_800, peers: 60 };
    let freed = 0;
    const log: string[] = [];
    const descriptors = new DescriptorLimit({
        maxDescriptors: MOST,
        log: { warn: (_fields: object, event: string) => void log.push(event) } as never,
        countSockets: () => open,
        closeIdle: () => {
            freed += 1;
            if (open.endpoints === 1_800) open = { ...open, endpoints: 1_000 };
        },
    });
    t.true(descriptors.admitsCall());
    t.is(freed, 1);
    open = { ...open, callers: 3_000 };
    t.false(descriptors.admitsCall());
    t.false(descriptors.admitsCall());
    for (let callers = 2_700; callers < 2_900; callers += 10) {
        open = { ...open, callers };
        descriptors.admitsCall();
    }
    t.deepEqual(log, ["descriptors_short"], "near the limit not every call is logged");
    open = NONE;
    t.true(descriptors.admitsCall());
    t.deepEqual(log, ["descriptors_short", "descriptors_again"]);
});
