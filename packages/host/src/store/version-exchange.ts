/**
 * How hosts exchange versions of what is in force: the deployment or the settings.
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

/** Exchanges a feed's versions with peers: announces, requests, sends and accepts them. */
export interface Spread {
    /** The version in force, as messages to peers announce it. */
    news(): VersionNews;
    /** The request for an announced version; undefined if it is not newer. */
    ask(news: VersionNews): SettingsAsk | undefined;
    /** The reply to a peer's request; undefined if this host has nothing to send. */
    give(ask: SettingsAsk): SettingsGive | undefined;
    /** Offers a peer's reply to the feed. */
    take(given: SettingsGive): void;
    /** Sets whether this host is one of those that watch the store for all others. */
    setWatching(watching: boolean): void;
}

/** The exchange of versions of the settings. */
export function settingsExchange(feed: SettingsFeed): Spread {
    return {
        news: () => newsOf(feed.inForce),
        ask: news => askAfter(feed.inForce, news),
        give: ask => give(feed.inForce, ask),
        take: given => void feed.offer(takeGiven(feed.inForce, given), "peer"),
        // A host without settings reads the store itself, even if others watch it.
        setWatching: watching => feed.setWatching(watching || feed.inForce === undefined),
    };
}
