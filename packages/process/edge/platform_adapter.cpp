#include "process/edge/platform_adapter.h"

#include <variant>

namespace ebonyway {

namespace {

/** Calls the store function that fits a request and converts its result. */
struct platform_caller
{
    platform_store &store;
    platform_store::timeout limit;

    result<platform_answer> operator()(const get_object &request) const
    {
        const result<stored_object> found = store.get(request.key, limit);
        if (!isOk(found)) {
            return errorOf(found);
        }
        return platform_answer{platform_object{valueOf(found).value, valueOf(found).version}};
    }

    result<platform_answer> operator()(const put_object &request) const
    {
        const result<std::string> written =
                request.ifVersion
                        ? store.update(request.key, request.value, *request.ifVersion, limit)
                        : store.createIfAbsent(request.key, request.value, limit);
        if (!isOk(written)) {
            return errorOf(written);
        }
        return platform_answer{platform_version{valueOf(written)}};
    }

    result<platform_answer> operator()(const list_objects &request) const
    {
        return convert(store.list(request.prefix, request.after, limit));
    }

    result<platform_answer> operator()(const watch_objects &request) const
    {
        return convert(store.watch(request.prefix, request.revision, request.timeout));
    }

    result<platform_answer> operator()(const list_instances &) const
    {
        const result<std::vector<platform_instance>> listed = store.instances(limit);
        if (!isOk(listed)) {
            return errorOf(listed);
        }
        platform_instances answer;
        for (const platform_instance &instance : valueOf(listed)) {
            const result<endpoint> gossip = endpoint::parse(instance.gossip);
            if (!isOk(gossip)) {
                continue;
            }
            answer.gossipEndpoints.push_back(valueOf(gossip));
        }
        return platform_answer{answer};
    }

private:
    static result<platform_answer> convert(const result<object_list> &listed)
    {
        if (!isOk(listed)) {
            return errorOf(listed);
        }
        platform_listing answer;
        answer.revision = valueOf(listed).revision;
        for (const listed_object &object : valueOf(listed).objects) {
            answer.keys.push_back(object.key);
        }
        return platform_answer{answer};
    }
};

} // namespace

result<platform_answer> callPlatform(platform_store &store, const platform_request &request,
                                     platform_store::timeout limit)
{
    return std::visit(platform_caller{store, limit}, request);
}

} // namespace ebonyway
