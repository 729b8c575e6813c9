/**
 * Endpoints of three speeds while reports of loads and speeds get lost.
 */
import test from "ava";
import type { LoadMessage } from "../src/index.js";
import { seeded } from "./fleet.js";
import { UNEVEN } from "./loads.js";
import { checkUneven } from "./uneven-tests.js";

test("a third of the load reports is lost", t => {
    const random = seeded(7);
    const isReport = ({ kind }: LoadMessage): boolean => kind === "held" || kind === "others";
    const transform = (_from: string, message: LoadMessage): LoadMessage | undefined =>
        isReport(message) && random() < 1 / 3 ? undefined : message;
    checkUneven(t, { ...UNEVEN, hosts: 16, runMs: 15_000, transform }, [2, 3]);
});
