import { createEtcd } from "@drumpaddle/protocol";
import { KvServer } from "../src/index.js";
import { testContract } from "./kv-contract.js";

testContract("etcd", async t => {
    const server = await KvServer.start();
    t.teardown(() => server.stop());
    return {
        kv: createEtcd({ url: server.url, timeoutMs: 1_000 }),
        nowhere: createEtcd({ url: "http://127.0.0.1:1", timeoutMs: 500 }),
        setDown: down => server.setDown(down),
        loseReply: () => void (server.faults.loseReplies += 1),
    };
});
