/**
 * `npm run bench:quarantine`: drawn days with requests that end the endpoints that run them, without and with the quarantine.
 *
 * @module
 */
import Table from "cli-table3";
import sade from "sade";
import { playQuarantineDay, type QuarantineDay, type QuarantineResult } from "./quarantine-model.js";

interface Options {
    readonly days: number;
    readonly hosts: string;
}

/** Endpoints to a host, as the users' fleets have them at the least. */
const ENDPOINTS_PER_HOST = 0.7;
const LEAST_ENDPOINTS = 8;
/** Kinds of days: guilty requests, endpoints that end by themselves, racks that do. */
const KINDS = [
    { name: "three guilty", guilty: 3, crashes: 2, rackFailures: 0 },
    { name: "three guilty, racks", guilty: 3, crashes: 2, rackFailures: 3 },
    { name: "none guilty, racks", guilty: 0, crashes: 6, rackFailures: 6 },
] as const;
const SECONDS = 60;

function sum(results: readonly QuarantineResult[], of: (result: QuarantineResult) => number): number {
    return results.reduce((all, result) => all + of(result), 0);
}

function quantile(values: readonly number[], share: number): string {
    const sorted = values.filter(value => !Number.isNaN(value)).sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]?.toFixed(0) ?? "-";
}

function row(hosts: number, kind: typeof KINDS[number], isGuarded: boolean, days: number): readonly string[] {
    const { name, ...more } = kind;
    const endpoints = Math.max(LEAST_ENDPOINTS, Math.round(hosts * ENDPOINTS_PER_HOST));
    const results = Array.from({ length: days }, (_, at): QuarantineResult => {
        const day: QuarantineDay = { seed: at + 1, hosts, endpoints, seconds: SECONDS, isGuarded, ...more };
        return playQuarantineDay(day);
    });
    const guilty = kind.guilty * days;
    const innocent = sum(results, result => result.innocent);
    const share = (count: number): string => (10_000 * count / innocent).toFixed(2);
    const news = results.flatMap(({ newsMs }) => newsMs);
    return [
        String(hosts),
        name,
        isGuarded ? "with" : "without",
        guilty === 0 ? "-" : (sum(results, ({ ended }) => ended) / guilty).toFixed(1),
        guilty === 0 ? "-" : (sum(results, ({ begunAfterThird }) => begunAfterThird) / guilty).toFixed(2),
        share(sum(results, ({ lost }) => lost)),
        share(sum(results, ({ quarantined }) => quarantined)),
        share(sum(results, ({ askedBack }) => askedBack)),
        isGuarded ? quantile(news, 0.5) : "-",
        isGuarded ? quantile(news, 1) : "-",
        isGuarded ? String(news.filter(Number.isNaN).length) : "-",
    ];
}

function run({ days, hosts }: Options): void {
    const table = new Table({
        head: [
            "hosts",
            "day",
            "quarantine",
            "ended for each guilty",
            "begun after its third",
            "streams lost of 10,000",
            "refused of 10,000",
            "asked back of 10,000",
            "known at all p50 ms",
            "most ms",
            "never",
        ],
        style: { head: [], border: [], compact: true },
    });
    for (const count of hosts.split(",").map(Number)) {
        for (const kind of KINDS) {
            for (const isGuarded of [false, true]) table.push([...row(count, kind, isGuarded, days)]);
        }
    }
    process.stdout.write(`${table.toString()}\n`);
}

sade("bench:quarantine", true)
    .describe("Plays drawn days with requests that end the endpoints that run them.")
    .option("--days", "Days of each kind", 20)
    .option("--hosts", "Sizes of the fleet", "6,60")
    .example("--days 20 --hosts 6,60,400")
    .action(run)
    .parse(process.argv);
