import type { SchedulerEvent } from "@drumpaddle/policy";
import test from "ava";
import { OwnershipLog } from "../src/peers/ownership-log.js";

function owns(...endpoints: readonly string[]): readonly SchedulerEvent[] {
    return [{ kind: "owns", endpoints }];
}

test("the log reports only when a host begins or ceases to own endpoints, the gauge every change of their number", t => {
    const lines: [string, object][] = [];
    const gauge: number[] = [];
    const log = { info: (fields: object, event: string) => void lines.push([event, fields]) } as never;
    const owned = new OwnershipLog(
        log,
        { ownedEndpoints: { set: (value: number) => void gauge.push(value) } } as never,
    );
    for (const events of [owns(), [], owns("a"), owns("a", "b"), owns(), owns()]) owned.update(events);
    t.deepEqual(lines, [
        ["endpoints_owned", { owned: 1, before: 0 }],
        ["endpoints_owned", { owned: 0, before: 2 }],
    ]);
    t.deepEqual(gauge, [0, 1, 2, 0, 0]);
});
