/**
 * How versions of what is in force spread among hosts.
 *
 * @module
 */
import {
    askAfter,
    give,
    newsOf,
    type SettingsAsk,
    type SettingsGive,
    takeGiven,
    type VersionNews,
} from "@drumpaddle/hall";
import type { SettingsFeed } from "./settings-feed.js";

/** How versions of what is in force reach this host from its peers, and its peers from it. */
export interface Spread {
    /** What messages to peers say of the version in force. */
    news(): VersionNews;
    /** The question to ask after hearing of a version; undefined where it is not newer. */
    ask(news: VersionNews): SettingsAsk | undefined;
    give(ask: SettingsAsk): SettingsGive | undefined;
    take(given: SettingsGive): void;
    /** Whether this host is one of those that watch the service for all. */
    setWatching(watching: boolean): void;
}

/** The spread of the settings tree. */
export function treeSpread(feed: SettingsFeed): Spread {
    return {
        news: () => newsOf(feed.inForce),
        ask: news => askAfter(feed.inForce, news),
        give: ask => give(feed.inForce, ask),
        take: given => void feed.offer(takeGiven(feed.inForce, given), "peer"),
        // A host that has no settings yet asks the service itself, whoever watches.
        setWatching: watching => feed.setWatching(watching || feed.inForce === undefined),
    };
}
