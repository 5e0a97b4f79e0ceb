// The cluster's list through endless new hosts, without a peer.
#include "cluster/cluster.hpp"

#include <gtest/gtest.h>

#include <set>

namespace brasslift::cluster {
namespace {

News one_host(const std::string& uid, ListingState state) {
    News news;
    News::Line line;
    line.uid = uid;
    line.address = *runtime::parse_address("127.0.0.1:9");
    line.listing.state = state;
    news.lines.push_back(line);
    return news;
}

TEST(Cluster, LeavesNothingBehindOfHostsThatHaveGone) {
    runtime::Scheduler scheduler;
    const config::Config config;
    upstream::Pool pool(scheduler, {});
    Cluster cluster(scheduler, config, *runtime::parse_address("127.0.0.1:9"), pool, 20);
    std::size_t forgotten = 0;
    cluster.tell_to([&](const dispatch::Listed& listed) { forgotten += listed.forgotten.size(); });
    std::set<std::uint32_t> ids;
    for (int i = 0; i < 100; ++i) {
        const auto uid = "s-" + std::to_string(i);
        const auto came = cluster.apply(one_host(uid, ListingState::ready));
        ids.insert(came.lines.front().endpoint.address);
        if (i < 99) cluster.apply(one_host(uid, ListingState::gone));
        // Each takes the address of the one before: nothing may go there for that one any more.
        if (i % 10 == 9) {
            scheduler.spawn(cluster.run());
            scheduler.run_until(scheduler.now() + 60);
            scheduler.drop_tasks();
        }
    }
    EXPECT_EQ(ids.size(), 100u);  // no id is given twice, or verdicts of one would be another's
    EXPECT_EQ(cluster.known(), 1u);
    EXPECT_EQ(pool.known(), 1u);
    EXPECT_EQ(forgotten, 99u);
}

TEST(Cluster, AnAddressBelongsToTheLatestHostThatHasIt) {
    runtime::Scheduler scheduler;
    const config::Config config;
    upstream::Pool pool(scheduler, {});
    Cluster cluster(scheduler, config, *runtime::parse_address("127.0.0.1:9"), pool);
    const auto first = cluster.apply(one_host("s-1", ListingState::ready)).lines.at(0).endpoint;
    const auto listed = cluster.apply(one_host("s-2", ListingState::ready));
    ASSERT_EQ(listed.lines.size(), 2u);
    EXPECT_EQ(listed.lines[0].endpoint, first);
    EXPECT_EQ(listed.lines[0].state, ListingState::gone);
    EXPECT_NE(listed.lines[1].endpoint, first);
}

}  // namespace
}  // namespace brasslift::cluster
