/** @file store_watch_order.h Which nodes watch the platform's store, and in which order they check it. */
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "core/base/id_type.h"

namespace pollengrade {

/**
 * The store watchers that all nodes agree on: the holders, if only some nodes watch the store, or else all
 * live nodes.
 */
class store_watch_order {
public:
    /** @param self address of this node */
    explicit store_watch_order(node_address self) : self_{std::move(self)} {}

    /**
     * Sets which nodes watch the store.
     * @param divided whether only some nodes do
     * @param holders these, if so
     * @param live all live nodes
     */
    void set(bool divided, std::span<const node_address> holders, std::span<const node_address> live);

    /**
     * @return whether nodes need the store's confirmations, see store_freshness: also a node that watches the
     * store itself can't tell a lost watch from a quiet one
     */
    [[nodiscard]] bool needs_confirmations() const noexcept { return !watchers_.empty(); }
    /** @return this node's rank, from 0, among the watchers; nullopt if it is none. */
    [[nodiscard]] std::optional<std::size_t> rank() const;
    /** @return the watchers; the first to check the store comes first. */
    [[nodiscard]] const std::vector<node_address>& watchers() const noexcept { return watchers_; }

private:
    node_address self_;                  ///< address of this node
    std::vector<node_address> watchers_; ///< see watchers()
};

} // namespace pollengrade
