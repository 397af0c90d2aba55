/// @file
/// In-memory table service and object store for tests, with conditional transactions, operation ids and
/// faults.
#pragma once

#include <map>
#include <set>
#include <string>

#include "camphorknot/node.hpp"

namespace camphorknot::test_support {

/// lose_answers: transactions take effect, but their answers are lost.
enum class store_fault : std::uint8_t { none, down, lose_answers };

/// Contents of both stores, the current fault and counters.
struct fake_platform {
    std::map<std::string, table_row> rows;
    std::set<std::uint64_t> operations; ///< Ids of the transactions that took effect.
    std::map<std::string, std::string> objects;
    store_fault fault = store_fault::none;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t answers_lost = 0; ///< Answers of writes that took effect.
};

inline table_answer read_row(fake_platform& store, const std::string& name)
{
    ++store.reads;
    const auto row = store.rows.find(name);
    if (row == store.rows.end()) {
        return {table_status::not_found, std::nullopt};
    }
    return {table_status::ok, row->second};
}

inline table_answer transact(fake_platform& store, const table_transaction& transaction)
{
    ++store.writes;
    if (store.operations.contains(transaction.operation)) {
        return {table_status::ok, std::nullopt};
    }
    for (const auto& condition : transaction.conditions) {
        const auto row = store.rows.find(condition.row);
        const std::uint64_t version = row == store.rows.end() ? 0 : row->second.version;
        if (version != condition.version) {
            return {table_status::conflict, std::nullopt};
        }
    }
    for (const auto& write : transaction.writes) {
        table_row& row = store.rows[write.row];
        row = {write.row, write.value, row.version + 1};
    }
    store.operations.insert(transaction.operation);
    return {table_status::ok, std::nullopt};
}

/// Executes @p call. @return the answer; with store_fault::lose_answers the status of a transaction is
/// unknown although it took effect.
inline platform_answer answer_call(fake_platform& store, const platform_call& call)
{
    if (store.fault == store_fault::down) {
        return {call.id, {table_status::unavailable, std::nullopt}};
    }
    platform_answer answer{call.id, {table_status::ok, std::nullopt}};
    if (const auto* read = std::get_if<table_read>(&call.request)) {
        answer.answer = read_row(store, read->row);
    } else if (const auto* transaction = std::get_if<table_transaction>(&call.request)) {
        answer.answer = transact(store, *transaction);
        if (store.fault == store_fault::lose_answers) {
            ++store.answers_lost;
            answer.answer = {table_status::unknown, std::nullopt};
        }
    } else if (const auto* resolve = std::get_if<operation_read>(&call.request)) {
        const bool executed = store.operations.contains(resolve->operation);
        answer.answer.status = executed ? table_status::ok : table_status::not_found;
    } else if (const auto* object = std::get_if<object_read>(&call.request)) {
        const auto found = store.objects.find(object->name);
        answer.answer.status = found == store.objects.end() ? table_status::not_found : table_status::ok;
        if (found != store.objects.end()) {
            answer.answer.row = table_row{object->name, found->second, 1};
        }
    } else if (const auto* write = std::get_if<object_write>(&call.request)) {
        store.objects[write->name] = write->value;
    }
    return answer;
}

} // namespace camphorknot::test_support
