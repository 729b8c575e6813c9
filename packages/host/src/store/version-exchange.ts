/**
 * How hosts exchange versions of what is in force: the deployment or the settings.
 *
 * @module
 */
import {
    give,
    type SettingsRequest,
    settingsRequestFor,
    type SettingsResponse,
    snapshotFromResponse,
    type VersionNews,
    versionNews,
} from "@drumpaddle/hall";
import type { SettingsFeed } from "./settings-feed.js";

/** Exchanges a feed's versions with peers: announces, requests, sends and accepts them. */
export interface VersionExchange {
    /** The version in force, as messages to peers announce it. */
    news(): VersionNews;
    /** The request for an announced version; undefined if it is not newer. */
    ask(news: VersionNews): SettingsRequest | undefined;
    /** The reply to a peer's request; undefined if this host has nothing to send. */
    give(ask: SettingsRequest): SettingsResponse | undefined;
    /** Offers a peer's reply to the feed. */
    accept(given: SettingsResponse): void;
    /** Sets whether this host is one of those that watch the store for all others. */
    setWatching(watching: boolean): void;
}

/** The exchange of versions of the settings. */
export function settingsExchange(feed: SettingsFeed): VersionExchange {
    return {
        news: () => versionNews(feed.inForce),
        ask: news => settingsRequestFor(feed.inForce, news),
        give: ask => give(feed.inForce, ask),
        accept: given => void feed.offer(snapshotFromResponse(feed.inForce, given), "peer"),
        // A host without settings reads the store itself, even if others watch it.
        setWatching: watching => feed.setWatching(watching || feed.inForce === undefined),
    };
}
