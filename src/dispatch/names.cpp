#include "dispatch/names.hpp"

namespace brasslift::dispatch {

std::string_view name_of(Refusal by) {
    switch (by) {
        case Refusal::module: return "module";
        case Refusal::plan: return "rule";
        case Refusal::held: return "held";
        case Refusal::journal: return "journal";
        case Refusal::unlisted: return "unlisted";
        case Refusal::nowhere: return "nowhere";
        case Refusal::conflict: return "conflict";
        case Refusal::gone: return "client_gone";
        case Refusal::lease: return "lease";
    }
    return "";
}

std::string_view name_of(Result result) {
    switch (result) {
        case Result::ok: return "ok";
        case Result::error: return "error";
        case Result::full: return "full";
        case Result::timeout: return "timeout";
        case Result::connect_failed: return "connect_failed";
        case Result::reset: return "reset";
        case Result::cancelled: return "cancelled";
        case Result::moot: return "moot";
        case Result::spoilt: return "spoilt";
    }
    return "";
}

std::string_view name_of(Progress progress) {
    switch (progress) {
        case Progress::not_connected: return "not_connected";
        case Progress::connected: return "connected";
        case Progress::partly_written: return "partly_written";
        case Progress::fully_written: return "fully_written";
        case Progress::answered: return "answered";
    }
    return "";
}

std::string_view name_of(Ending ending) {
    switch (ending) {
        case Ending::none: return "none";
        case Ending::done: return "delivered";
        case Ending::failed: return "undeliverable";
        case Ending::deferred: return "deferred";
    }
    return "";
}

}  // namespace brasslift::dispatch
