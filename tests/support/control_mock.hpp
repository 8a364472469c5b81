#pragma once

#include "cell/control.hpp"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

namespace acaciastile
{

/// The face of the control code, for tests of what stands before it.
class control_mock : public control
{
public:
    MAKE_MOCK4(
        submit,
        void(instant, presented_key, job_spec, completion<job_status>),
        override);
    MAKE_MOCK4(
        request,
        void(instant, presented_key, job_spec, completion<request_answer>),
        override);
    MAKE_MOCK5(
        status,
        void(instant, presented_key, job_id, bool, completion<job_status>),
        override);
    MAKE_MOCK4(
        cancel,
        void(instant, presented_key, job_id, completion<job_status>),
        override);
    MAKE_MOCK4(
        list,
        void(
            instant,
            presented_key,
            job_filter,
            completion<std::vector<job_status>>),
        override);
    MAKE_MOCK5(
        publish_inventory,
        void(
            instant, presented_key, revision, inventory, completion<published>),
        override);
    MAKE_MOCK5(
        publish_rules,
        void(instant, presented_key, revision, rules, completion<published>),
        override);
    MAKE_MOCK5(
        grant_key,
        void(
            instant,
            presented_key,
            team_name,
            key_right,
            completion<granted_key>),
        override);
    MAKE_MOCK4(
        withdraw_key,
        void(instant, presented_key, key_id, completion<published>),
        override);
    MAKE_MOCK5(
        drain,
        void(
            instant,
            presented_key,
            std::vector<worker_id>,
            bool,
            completion<published>),
        override);
    MAKE_MOCK4(
        declare_dead,
        void(
            instant,
            presented_key,
            std::vector<worker_id>,
            completion<published>),
        override);
    MAKE_MOCK3(
        configuration,
        void(
            instant,
            presented_key,
            completion<std::vector<configuration_in_force>>),
        override);
    MAKE_MOCK3(
        documents,
        void(instant, presented_key, completion<documents_in_force>),
        override);
    MAKE_MOCK3(
        teams,
        void(instant, presented_key, completion<std::vector<team_status>>),
        override);
    MAKE_MOCK3(
        workers,
        void(instant, presented_key, completion<std::vector<worker_status>>),
        override);
    MAKE_MOCK3(
        dump, void(instant, presented_key, completion<std::string>), override);
    MAKE_MOCK4(
        on_peer,
        void(
            instant,
            const std::string&,
            const std::string&,
            completion<std::string>),
        override);
    MAKE_CONST_MOCK0(ready, bool(), override);
    MAKE_MOCK1(begin_shutdown, void(instant), override);
    MAKE_CONST_MOCK0(finished, bool(), override);
    MAKE_MOCK1(tick, void(instant), override);
};

} // namespace acaciastile
