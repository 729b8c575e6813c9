export { callAnyHost, type CallResult, type ClientOptions } from "./client.js";
export { explainRequest, linesAboutRequest, type LogLine, parseLogLine, readLogFiles } from "./explain.js";
export { expireKey, issueKey, issueToken, listKeys } from "./keys.js";
export { countLosses, DEFAULT_STEP_S, type Loss, losses } from "./losses.js";
export { type CommandResult, Exit, formatChanges } from "./output.js";
export { liftQuarantine, type ListedRequest, listQuarantine } from "./quarantine.js";
export * as settings from "./settings.js";
