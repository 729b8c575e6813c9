import test from "ava";
import { settled } from "./fleet-tests.js";
import type { SimHost } from "./fleet.js";

test("what a host sends does not grow with the number of hosts", t => {
    const rates = [50, 200, 800].map(hosts => {
        const fleet = settled({ hosts, halls: 5 });
        fleet.run(1_500);
        fleet.countsBytes = true;
        for (const host of fleet.hosts) [host.sent, host.bytes] = [0, 0];
        fleet.run(2_000);
        const mean = (of: (host: SimHost) => number): number =>
            fleet.hosts.reduce((sum, host) => sum + of(host), 0) / hosts / 2;
        return { hosts, messages: mean(host => host.sent), bytes: mean(host => host.bytes) };
    });
    t.log(
        rates.map(({ hosts, messages, bytes }) => `${hosts}: ${messages.toFixed(1)}/s ${bytes.toFixed(0)} B/s`).join(
            ", ",
        ),
    );
    const [first] = rates;
    for (const { messages, bytes } of rates) {
        t.true(messages < first!.messages * 1.1 && bytes < first!.bytes * 1.2);
        t.true(bytes < 5_000, "half of what a host may spend for control");
    }
});
