export { call, type CallResult, type ClientCfg } from "./client.js";
export { explain, type LogLine, readLine, readLines, storyOf } from "./explain.js";
export { expireKey, issueKey, issueToken, listKeys } from "./keys.js";
export { type Loss, losses, lossesOf, MOMENT_S } from "./losses.js";
export { Exit, type Outcome, showChanges } from "./output.js";
export { liftQuarantine, listQuarantine } from "./quarantine.js";
export * as settings from "./settings.js";
