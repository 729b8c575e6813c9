import { ownerReportIntervalMs } from "@drumpaddle/hall";
import test from "ava";
import { readFileSync } from "node:fs";
import { perHost, PLAN, PROBE_MESSAGES_PER_ROUND, renderCapacity, roleCosts, type Slopes } from "../src/capacity.js";

const PROBE_INTERVAL_MS = 250;

function slopesIn(page: string): Slopes {
    const json = /```json\n([\s\S]*?)\n```/.exec(page)?.[1];
    if (json === undefined) throw new Error("docs/CAPACITY.md has no slopes: run npm run bench:capacity -- --write");
    return JSON.parse(json) as Slopes;
}

test("docs/CAPACITY.md shows the tables computed from its slopes", t => {
    const page = readFileSync(new URL("../../../docs/CAPACITY.md", import.meta.url), "utf8");
    const { hallHosts } = perHost();
    t.true(
        page.includes(
            renderCapacity(
                slopesIn(page),
                ownerReportIntervalMs(hallHosts),
                PROBE_INTERVAL_MS,
                PROBE_MESSAGES_PER_ROUND,
            ),
        ),
    );
});

test("by the slopes in docs/CAPACITY.md, the control plane at the planned size stays within its budget", t => {
    const page = readFileSync(new URL("../../../docs/CAPACITY.md", import.meta.url), "utf8");
    const { hallHosts } = perHost();
    const costs = roleCosts(
        slopesIn(page),
        ownerReportIntervalMs(hallHosts),
        PROBE_INTERVAL_MS,
        PROBE_MESSAGES_PER_ROUND,
    );
    const sum = (of: (cost: typeof costs[number]) => number): number =>
        costs.reduce((total, cost) => total + of(cost), 0);
    t.true(sum(cost => cost.cores) <= PLAN.budget.cores);
    t.true(sum(cost => cost.bytesPerS) <= PLAN.budget.bytesPerS);
    t.true(sum(cost => cost.memoryMb) <= PLAN.budget.memoryMb);
});
