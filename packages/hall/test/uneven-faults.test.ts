/**
 * Endpoints of three speeds while words get lost, the owner falls silent, or a host tells what is not so.
 */
import test from "ava";
import type { ShareMessage } from "../src/index.js";
import { endpointOwner } from "../src/index.js";
import { seeded } from "./fleet.js";
import { UNEVEN } from "./loads.js";
import { checkUneven } from "./uneven-tests.js";

const FEW = { ...UNEVEN, hosts: 16, runMs: 15_000 };
const SEEDS = [3];
const HOSTS = Array.from({ length: FEW.hosts }, (_, at) => `host-${String(at).padStart(3, "0")}`);

test("a third of the words of what hosts hold lost", t => {
    const random = seeded(7);
    const isWord = ({ kind }: ShareMessage): boolean => kind === "held" || kind === "others";
    const arrives = (_from: string, message: ShareMessage): ShareMessage | undefined =>
        isWord(message) && random() < 1 / 3 ? undefined : message;
    checkUneven(t, { ...FEW, arrives }, SEEDS);
});

test("the owner is silent from the first burst on", t => {
    const owner = endpointOwner("any of so few", FEW.engines.length, HOSTS);
    const isLost = (from: string, to: string, now: number): boolean => now > 8_000 && (from === owner || to === owner);
    checkUneven(t, { ...FEW, isLost }, SEEDS);
});

test("a host tells what is not so", t => checkUneven(t, { ...FEW, arrives: exaggerate }, SEEDS));

/** One host's words with endpoints that take a thousand times as long as they do, or as little. */
function exaggerate(from: string, message: ShareMessage): ShareMessage {
    if (from !== HOSTS[3] || message.kind !== "held") return message;
    const held = message.held.map((item, at) => {
        if (!item.shown) return item;
        const times = at % 2 === 0 ? 1_000 : 0.001;
        const { firstMs, gapMs, longestMs, pieces } = item.shown;
        const shown = {
            ...item.shown,
            firstMs: firstMs * times,
            gapMs: gapMs * times,
            longestMs: longestMs * times,
            pieces: pieces * 1e6,
        };
        return { ...item, shown };
    });
    return { ...message, held };
}
