// A member's part in passing on what discovery has said (docs/design/discovery-word.md).
#include "members/member.hpp"

namespace brasslift::members {
namespace {

constexpr double ask_again_ms = 200;

}  // namespace

std::vector<v1::Host> Member::heard_list(const v1::ListWord& word, double now) {
    now_ = now;
    if (!table_.shares_list) return {};
    const auto before = word_.rev();
    auto news = word_.hear(word);
    if (!news.empty()) {
        // Whoever knows these already passes nothing on.
        v1::Frame frame;
        auto& said = *frame.mutable_list_word();
        said.set_after(before);
        said.set_rev(std::max(before, word.rev()));
        for (const auto& host : news) *said.add_host() = host;
        for (const auto& peer : table_.peers) send(peer.id, frame);
    }
    return news;
}

void Member::on(Id from, const v1::ListWord& word) {
    if (!table_.shares_list) return;
    const bool gap = word_.leaves_gap(word);
    for (auto& host : word_.hear(word)) list_news_.push_back(std::move(host));
    if (gap) see_list(from, word.rev());
}

void Member::on(Id from, const v1::AskWord& ask) {
    if (!table_.shares_list || word_.rev() <= ask.after()) return;
    v1::Frame frame;
    *frame.mutable_list_word() = word_.since(ask.after());
    send(from, std::move(frame));
}

// Somebody knows discovery's list up to there: what is missing here is asked of him.
void Member::see_list(Id from, std::uint32_t rev) {
    if (!table_.shares_list || rev <= word_.rev() || now_ < next_ask_) return;
    next_ask_ = now_ + ask_again_ms;
    v1::Frame frame;
    frame.mutable_ask_word()->set_after(word_.rev());
    send(from, std::move(frame));
}

}  // namespace brasslift::members
