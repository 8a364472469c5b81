#pragma once

#include "cli/config/config_finding.hpp"
#include "cli/config/json_places.hpp"
#include "domain/error.hpp"
#include "domain/inventory.hpp"
#include "domain/rules.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace acaciastile
{

/// A document that operators publish, and what is wrong with it. Decides from
/// the text alone, without I/O.
class config_check
{
public:
    /// Judges the text of an inventory or of rules; its fields tell which. Any
    /// text is accepted.
    [[nodiscard]] static config_check of_text(std::string_view text);

    /// A check whose only finding is that the document could not be read.
    [[nodiscard]] static config_check unreadable(const std::string& why);

    [[nodiscard]] bool is_inventory() const noexcept
    {
        return std::holds_alternative<inventory>(document_);
    }
    [[nodiscard]] bool is_rules() const noexcept
    {
        return std::holds_alternative<rules>(document_);
    }
    /// Null unless the document is a valid one of that kind.
    [[nodiscard]] const inventory* as_inventory() const noexcept
    {
        return std::get_if<inventory>(&document_);
    }
    [[nodiscard]] const rules* as_rules() const noexcept
    {
        return std::get_if<rules>(&document_);
    }
    /// `inventory`, `rules` or `unknown`, also if the document is not valid.
    [[nodiscard]] const std::string& kind_name() const noexcept
    {
        return kind_name_;
    }

    /// Sorted by position.
    [[nodiscard]] const std::vector<config_finding>& findings() const noexcept
    {
        return findings_;
    }
    [[nodiscard]] bool has_errors() const;

    /// Adds the limits of the rules that the capacity of the inventory
    /// contradicts. One of the two is this document.
    void check_together(const rules& limits, const inventory& workers);

    /// Adds that the document to compare with cannot be had.
    void add_not_compared(const std::string& why);

private:
    void
    add(config_finding_kind kind, std::string path, const std::string& message);
    /// Splits the path off the message of an error of decoding.
    void add_error(const std::string& item, const error& wrong);
    void sort();

    void judge_inventory(const nlohmann::json& document);
    void judge_rules(const nlohmann::json& document);
    /// Decodes a field's items in the order of the file. Adds the first error
    /// of each that is not valid, and leaves an empty value in its place.
    template<class Value, class Decode, class Check>
    std::vector<Value> decode_items(
        const nlohmann::json& document,
        const std::string& field,
        Decode decode,
        Check check);
    void find_unknown_teams(
        const nlohmann::json& document, const std::vector<queue_rule>& queues);
    void warn_of_workers(const std::vector<worker_entry>& workers);
    void warn_of_teams(
        const std::vector<team_rule>& teams,
        const std::vector<queue_rule>& queues);
    void warn_of_queues(const std::vector<queue_rule>& queues);

    std::variant<std::monostate, inventory, rules> document_;
    std::string kind_name_ = "unknown";
    json_places places_;
    std::vector<team_name> team_order_; ///< As in the file.
    std::vector<config_finding> findings_;
};

} // namespace acaciastile
