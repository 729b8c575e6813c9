import { createEtcdClient } from "@drumpaddle/protocol";
import { KvServer } from "../src/index.js";
import { testContract } from "./kv-contract.js";

testContract("etcd", async t => {
    const server = await KvServer.start();
    t.teardown(() => server.stop());
    return {
        kv: createEtcdClient({ url: server.url, timeoutMs: 1_000 }),
        unreachable: createEtcdClient({ url: "http://127.0.0.1:1", timeoutMs: 500 }),
        setDown: down => server.setDown(down),
        loseReply: () => void (server.faults.loseReplies += 1),
    };
});
