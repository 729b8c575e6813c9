/**
 * Endpoints of three speeds while their owner is silent, or a host reports false samples.
 */
import test from "ava";
import { decodeSamples, encodeSamples, endpointOwner, type LoadMessage } from "../src/index.js";
import { UNEVEN } from "./loads.js";
import { checkUneven } from "./uneven-tests.js";

const LOAD = { ...UNEVEN, hosts: 16, runMs: 15_000 };
const SEEDS = [2, 3];
const HOSTS = Array.from({ length: LOAD.hosts }, (_, at) => `host-${String(at).padStart(3, "0")}`);

test("the owner is silent from the first burst on", t => {
    const owner = endpointOwner("any of so few", LOAD.engines.length, HOSTS);
    const isLost = (from: string, to: string, now: number): boolean => now > 8_000 && (from === owner || to === owner);
    checkUneven(t, { ...LOAD, isLost }, SEEDS);
});

test("a host reports false samples", t => checkUneven(t, { ...LOAD, transform: exaggerate }, SEEDS));

/** Changes one host's reports: its samples are a thousand times too slow or too fast. */
function exaggerate(from: string, message: LoadMessage): LoadMessage {
    if (from !== HOSTS[3] || message.kind !== "held") return message;
    const held = message.held.map((item, at) => {
        if (!item.shown) return item;
        const times = at % 2 === 0 ? 1_000 : 0.001;
        const told = decodeSamples(item.shown);
        const shown = encodeSamples({
            ...told,
            firstMs: told.firstMs * times,
            gapMs: told.gapMs * times,
            longestMs: told.longestMs * times,
            pieces: told.pieces * 1e6,
        });
        return { ...item, shown };
    });
    return { ...message, held };
}
