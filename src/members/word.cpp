#include "members/word.hpp"

#include <algorithm>

namespace brasslift::members {

const v1::Host* Word::find(const std::string& uid) const {
    const auto found = hosts_.find(uid);
    return found == hosts_.end() ? nullptr : &found->second;
}

void Word::take(const v1::Host& host, std::vector<v1::Host>& news) {
    const auto [at, fresh] = hosts_.try_emplace(host.uid(), host);
    auto& known = at->second;
    if (!fresh) {
        if (host.rev() <= known.rev()) return;
        if (known.state() == gone) gone_.erase({known.rev(), known.uid()});
        // A line that says the same again is newer and no news.
        auto before = std::exchange(known, host);
        if (known.state() == gone) gone_.emplace(known.rev(), known.uid());
        before.set_rev(known.rev());
        if (before.SerializeAsString() == known.SerializeAsString()) return;
    } else if (host.state() == gone) {
        gone_.emplace(host.rev(), host.uid());
        return;  // of one that was never heard of
    }
    news.push_back(known);
}

std::vector<v1::Host> Word::hear(const v1::ListWord& word) {
    std::vector<v1::Host> news;
    const bool gap = leaves_gap(word);
    for (const auto& host : word.host()) take(host, news);
    if (word.whole()) {
        std::set<std::string_view> named;
        for (const auto& host : word.host()) named.insert(host.uid());
        std::vector<v1::Host> left;
        for (const auto& [uid, host] : hosts_)
            if (host.state() != gone && host.rev() < word.rev() && named.count(uid) == 0)
                left.push_back(host);
        for (auto& host : left) {
            host.set_state(gone);
            host.set_rev(word.rev());
            take(host, news);
        }
    }
    if (!gap) rev_ = std::max(rev_, word.rev());
    forget_gone();
    std::sort(news.begin(), news.end(), [](const auto& a, const auto& b) { return a.uid() < b.uid(); });
    return news;
}

void Word::forget_gone() {
    while (gone_.size() > most_gone) {
        const auto oldest = gone_.begin();
        forgotten_ = std::max(forgotten_, oldest->first);
        hosts_.erase(oldest->second);
        gone_.erase(oldest);
    }
}

v1::ListWord Word::since(std::uint32_t after) const {
    v1::ListWord word;
    const bool whole = after < forgotten_ || after == 0;
    word.set_after(whole ? 0 : after);
    word.set_rev(rev_);
    word.set_whole(whole);
    // One that is gone by a word beyond a gap is named: left out, it would count as gone at this revision.
    for (const auto& [uid, host] : hosts_)
        if (whole ? host.state() != gone || host.rev() > rev_ : host.rev() > after) *word.add_host() = host;
    return word;
}

}  // namespace brasslift::members
