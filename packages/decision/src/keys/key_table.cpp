#include "camphorknot/keys.hpp"

#include <algorithm>
#include <cstring>

namespace camphorknot {
namespace {

using internal::key_entry;
using internal::key_page;

bool hash_order(const key_entry& entry, const key_hash& hash)
{
    return std::memcmp(entry.hash.data(), hash.data(), hash.size()) < 0;
}

std::size_t page_index(const key_hash& hash)
{
    return hash.front();
}

// Returns the entry of the hash in the page; adds one if there is none.
key_entry& find_or_add_entry(key_page& page, const key_hash& hash, std::size_t& key_count)
{
    const auto place = std::lower_bound(page.entries.begin(), page.entries.end(), hash, hash_order);
    if (place != page.entries.end() && place->hash == hash) {
        return *place;
    }
    ++key_count;
    key_entry entry;
    entry.hash = hash;
    return *page.entries.insert(place, entry);
}

// Changes one entry in a copy of its page; copies of the table made before keep the old page.
template <typename Edit>
void edit_entry(key_table& table, const key_hash& hash, Edit edit)
{
    auto& slot = table.pages[page_index(hash)];
    auto page = slot ? std::make_shared<key_page>(*slot) : std::make_shared<key_page>();
    edit(find_or_add_entry(*page, hash, table.key_count));
    slot = std::move(page);
}

void set_customer(key_entry& entry, const key_object& key)
{
    entry.customer = make_id<customer_id>(key.customer);
    entry.has_customer = true;
}

} // namespace

key_table make_key_table(std::span<const key_object> keys)
{
    std::array<std::shared_ptr<key_page>, internal::key_page_count> pages;
    key_table table;
    for (const key_object& key : keys) {
        auto& page = pages[page_index(key.hash)];
        if (!page) {
            page = std::make_shared<key_page>();
        }
        set_customer(find_or_add_entry(*page, key.hash, table.key_count), key);
    }
    std::move(pages.begin(), pages.end(), table.pages.begin());
    return table;
}

void add_key(key_table& table, const key_object& key)
{
    edit_entry(table, key.hash, [&](key_entry& entry) { set_customer(entry, key); });
}

void revoke_key(key_table& table, const key_hash& hash)
{
    edit_entry(table, hash, [](key_entry& entry) { entry.revoked = true; });
}

key_answer find_customer(const key_table& table, const key_hash& hash)
{
    const auto& page = table.pages[page_index(hash)];
    if (!page) {
        return {};
    }
    const auto place = std::lower_bound(page->entries.begin(), page->entries.end(), hash, hash_order);
    if (place == page->entries.end() || place->hash != hash) {
        return {};
    }
    if (place->revoked) {
        return {key_status::revoked, {}};
    }
    return place->has_customer ? key_answer{key_status::valid, place->customer} : key_answer{};
}

} // namespace camphorknot
